import type { PlannedRun } from './planned-run.js';
import type { PlannedWorker } from './planned-worker.js';

/** Returns a function that lists the runs on a worker, once in a round: several gangs consider the same workers. */
export function listRunsOnce(): (worker: PlannedWorker) => readonly PlannedRun[] {
  const runsByWorker = new Map<PlannedWorker, readonly PlannedRun[]>();
  return (worker) => {
    let runs = runsByWorker.get(worker);
    if (runs === undefined) runsByWorker.set(worker, (runs = worker.listRuns()));
    return runs;
  };
}
