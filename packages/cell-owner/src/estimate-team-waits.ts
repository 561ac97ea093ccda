import type { ReadyStep } from '@acaciahoist/cell-planner/ready-step';
import { taskName } from '@acaciahoist/cell-state/task-name';
import type { Team } from '@acaciahoist/cell-types/team';

const MIN_WAIT_MS = 1_000;
/** After this time in ms an excess job is ordered as any other. */
const MAX_WAIT_MS = 30_000;

/**
 * Estimates for each team how long a new excess job would wait, in ms: as long as the oldest one that waits has waited
 * already, and as long as those ahead of it take at the rate of the team.
 */
export function estimateTeamWaits(
  steps: readonly ReadyStep[],
  teams: readonly Team[],
  nowMs: number,
): Map<string, number> {
  const waiting = new Map<string, { jobs: Set<string>; oldestMs: number }>();
  for (const { key, team, isExcess, dueMs } of steps) {
    if (!isExcess || team === undefined || nowMs - dueMs >= MAX_WAIT_MS) continue;
    let entry = waiting.get(team);
    if (entry === undefined) waiting.set(team, (entry = { jobs: new Set<string>(), oldestMs: 0 }));
    entry.jobs.add(taskName.jobOf(key));
    entry.oldestMs = Math.max(entry.oldestMs, nowMs - dueMs);
  }
  return new Map(
    teams.map(({ name, weight }) => {
      const { jobs, oldestMs } = waiting.get(name) ?? { jobs: new Set(), oldestMs: 0 };
      const aheadMs = weight > 0 ? (jobs.size * 1_000) / weight : MAX_WAIT_MS;
      return [name, Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, oldestMs, aheadMs))];
    }),
  );
}
