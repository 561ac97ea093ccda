import type { PlannedTeams } from '@acaciahoist/cell-planner/planned-teams';
import type { OwnerContext } from './owner-context.js';

/** Returns what the planner needs to know about the teams of the configuration in force. */
export function planTeams(
  { teams, runs, proposals }: Pick<OwnerContext, 'teams' | 'runs' | 'proposals'>,
  isShort: boolean,
): PlannedTeams {
  const usedByAll = { millicores: 0, memoryMib: 0, accelerators: 0 };
  runs.teamUsage.addAllTo(usedByAll);
  proposals.teamUsage.addAllTo(usedByAll);
  return {
    teams: teams()?.map(({ name, weight, quota }) => {
      const used = { millicores: 0, memoryMib: 0, accelerators: 0 };
      runs.teamUsage.addTo(used, name);
      proposals.teamUsage.addTo(used, name);
      const lasting = { millicores: 0, memoryMib: 0, accelerators: 0 };
      runs.longRunningTeamUsage.addTo(lasting, name);
      return { name, weight, quota, used, lasting };
    }),
    usedByAll,
    isShort,
  };
}
