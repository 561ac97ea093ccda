import type { Capacity } from './capacity.js';

/** A team as the planner sees it at the start of a round. */
export interface PlannedTeam {
  name: string;
  /** Part of the cell that the team may use while there is not enough for all, relative to other teams. */
  weight: number;
  /** Limit on what the team has running; 0 in a field for no limit. */
  quota: Capacity;
  /** Demand of its recorded runs that have not ended and of its decided starts. */
  used: Capacity;
  /** What of it belongs to long-running tasks, which do not end by themselves. */
  lasting: Capacity;
}
