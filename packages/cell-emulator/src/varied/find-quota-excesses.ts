import { taskName } from '@acaciahoist/cell-state/task-name';
import type { EmulatedCell } from '../emulated-cell.js';

/** Lists the starts at workers that brought the running tasks of a team above its quota in millicores. */
export function findQuotaExcesses(
  cell: EmulatedCell,
  quotas: ReadonlyMap<string, number>,
): string[] {
  const running = new Map<string, { team: string; millicores: number }>();
  const excesses: string[] = [];
  for (const { kind, task, run, worker, atMs } of cell.history) {
    const ref = taskName.parse(task);
    const job = cell.jobs.get(ref?.job ?? '');
    const { team } = job ?? {};
    if (ref === undefined || team === undefined) continue;
    const runName = `${task}/${run} at ${worker}`;
    if (kind === 'ended') running.delete(runName);
    if (kind !== 'started') continue;
    running.set(runName, { team, millicores: job?.steps[ref.step]?.millicores ?? 0 });
    const usedMillicores = [...running.values()]
      .filter((entry) => entry.team === team)
      .reduce((sum, { millicores }) => sum + millicores, 0);
    if (usedMillicores > (quotas.get(team) ?? Number.POSITIVE_INFINITY))
      excesses.push(`${runName} starts at ${atMs} ms: team ${team} uses ${usedMillicores}`);
  }
  return excesses.slice(0, 3);
}
