import type { Capacity } from '@acaciahoist/cell-planner/capacity';
import type { OwnerContext } from './owner-context.js';

/** Returns whether the quota of the team permits one more run. A limit of 0 is none. */
export function hasQuotaFor(
  { teams, runs, proposals }: Pick<OwnerContext, 'teams' | 'runs' | 'proposals'>,
  team: string | undefined,
  charge: Capacity,
): boolean {
  if (team === undefined) return true;
  const known = teams();
  // No run of a team starts while no configuration is known.
  if (known === undefined) return false;
  const quota = known.find(({ name }) => name === team)?.quota;
  if (quota === undefined) return true;
  const used = { ...charge };
  runs.teamUsage.addTo(used, team);
  proposals.teamUsage.addTo(used, team);
  return (
    isWithin(used.millicores, quota.millicores) &&
    isWithin(used.memoryMib, quota.memoryMib) &&
    isWithin(used.accelerators, quota.accelerators)
  );
}

function isWithin(used: number, limit: number): boolean {
  return limit === 0 || used <= limit;
}
