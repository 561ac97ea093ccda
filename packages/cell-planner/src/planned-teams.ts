import type { Capacity } from './capacity.js';
import type { PlannedTeam } from './planned-team.js';

/** What a round knows about the teams. */
export interface PlannedTeams {
  /** Teams of the configuration in force; undefined while none has been read, when no step of a team starts. */
  teams: readonly PlannedTeam[] | undefined;
  /** What all runs use, whether or not they belong to a team. */
  usedByAll: Capacity;
  /** Whether waiting steps have lacked room lately, so that the shares of the teams decide the order. */
  isShort: boolean;
}
