import type { CellJob } from '@acaciahoist/cell-types';
import type { Team } from '@acaciahoist/cell-types/team';

/**
 * Describes the first gang of the job that needs more than the quota of its team by itself, so that it can never
 * start; undefined when there is none. Best-effort tasks count in full.
 */
export function findGangBeyondQuota(job: CellJob, { name, quota }: Team): string | undefined {
  for (const [index, step] of job.steps.entries()) {
    if (!step.gang) continue;
    for (const resource of ['millicores', 'memoryMib', 'accelerators'] as const) {
      const needed = step.count * step[resource];
      if (quota[resource] > 0 && needed > quota[resource])
        return `gang ${index} needs ${needed} ${resource} at once, and the quota of team ${name} is ${quota[resource]}`;
    }
  }
  return undefined;
}
