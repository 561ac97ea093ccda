import { lifecycles } from '@acaciahoist/lifecycles';
import type { Cell } from './cell.js';
import type { JobRecord } from './job-record.js';
import type { WorkerRecord } from './worker-record.js';

/** Excludes the worker until its probation, for longer at each exclusion without a success since. */
function exclude(cell: Cell, worker: WorkerRecord, nowMs: number): void {
  const { exclusionMs, maxExclusionMs } = cell.limits;
  const delayMs = Math.min(maxExclusionMs, exclusionMs * 2 ** Math.min(20, worker.exclusionCount));
  worker.state = lifecycles.worker.step(worker.state, 'eject');
  worker.exclusionCount += 1;
  worker.probationAtMs = nowMs + delayMs * (0.75 + 0.5 * cell.nextRandom());
  cell.excludedWorkers.add(worker);
  cell.workerTable.refresh(worker);
}

/** Lets the worker accept tasks without limit again. */
function reinstate(cell: Cell, worker: WorkerRecord): void {
  worker.state = lifecycles.worker.step(worker.state, 'resume');
  cell.excludedWorkers.delete(worker);
  cell.workerTable.refresh(worker);
  cell.releaseCount += 1;
}

/** Excludes workers on which several different jobs fail and tries them again on probation. */
export const workerHealth = {
  /** Records a failure; excludes the worker after failures of several jobs or one on probation. */
  recordFailure(cell: Cell, worker: WorkerRecord, job: JobRecord, nowMs: number): void {
    worker.failedJobIds.add(job.id);
    job.failedWorkers.add(worker.address);
    if (worker.state === 'probing') exclude(cell, worker, nowMs);
    if (worker.state !== 'active') return;
    if (worker.failedJobIds.size >= cell.limits.workerFailures) exclude(cell, worker, nowMs);
  },

  /** Clears the failures of the worker and ends its exclusion or probation. */
  recordSuccess(cell: Cell, worker: WorkerRecord): void {
    worker.failedJobIds.clear();
    worker.exclusionCount = 0;
    if (worker.state === 'probing' || worker.state === 'ejected') reinstate(cell, worker);
  },

  /**
   * Removes a job that fails on several workers from the failures of these workers, because the
   * fault is in the job. A worker that too few other jobs failed on ends its exclusion.
   */
  clearFailures(cell: Cell, job: JobRecord): void {
    for (const address of job.failedWorkers) {
      const worker = cell.workerTable.byAddress.get(address);
      if (worker?.failedJobIds.delete(job.id) !== true) continue;
      const staysExcluded = worker.failedJobIds.size >= cell.limits.workerFailures;
      if (worker.state === 'ejected' && !staysExcluded) reinstate(cell, worker);
    }
  },

  /** Puts workers whose time of exclusion has passed on probation, where they accept one task. */
  startProbation(cell: Cell, nowMs: number): void {
    for (const worker of cell.excludedWorkers) {
      if (worker.probationAtMs > nowMs) continue;
      worker.state = lifecycles.worker.step(worker.state, 'probe');
      cell.excludedWorkers.delete(worker);
      cell.workerTable.refresh(worker);
      cell.releaseCount += 1;
    }
  },
};
