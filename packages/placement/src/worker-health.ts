import { lifecycles } from '@acaciahoist/lifecycles';
import type { Cell } from './cell.js';
import type { JobRecord } from './job-record.js';
import type { WorkerRecord } from './worker-record.js';

/** Ejects the worker until it is probed, for longer at each ejection without a success since. */
function eject(cell: Cell, worker: WorkerRecord, nowMs: number): void {
  const { ejectionMs, maxEjectionMs } = cell.limits;
  const delayMs = Math.min(maxEjectionMs, ejectionMs * 2 ** Math.min(20, worker.ejectionCount));
  worker.state = lifecycles.worker.step(worker.state, 'eject');
  worker.ejectionCount += 1;
  worker.probeAtMs = nowMs + delayMs * (0.75 + 0.5 * cell.nextRandom());
  cell.ejectedWorkers.add(worker);
  cell.workerTable.refresh(worker);
}

/** Lets the worker accept tasks without limit again. */
function reinstate(cell: Cell, worker: WorkerRecord): void {
  worker.state = lifecycles.worker.step(worker.state, 'resume');
  cell.ejectedWorkers.delete(worker);
  cell.workerTable.refresh(worker);
  cell.releaseCount += 1;
}

/** Ejects workers on which several different jobs fail, and probes them later with one task. */
export const workerHealth = {
  /** Records a failure; ejects the worker after failures of several jobs, or of one while it is probed. */
  recordFailure(cell: Cell, worker: WorkerRecord, job: JobRecord, nowMs: number): void {
    worker.failedJobIds.add(job.id);
    job.failedWorkers.add(worker.address);
    if (worker.state === 'probing') eject(cell, worker, nowMs);
    if (worker.state !== 'active') return;
    if (worker.failedJobIds.size >= cell.limits.workerFailures) eject(cell, worker, nowMs);
  },

  /** Clears the failures of the worker and ends its ejection or probe. */
  recordSuccess(cell: Cell, worker: WorkerRecord): void {
    worker.failedJobIds.clear();
    worker.ejectionCount = 0;
    if (worker.state === 'probing' || worker.state === 'ejected') reinstate(cell, worker);
  },

  /**
   * Removes a job that fails on several workers from the failures of these workers, because the
   * fault is in the job. Ends the ejection of a worker on which too few other jobs have failed.
   */
  clearFailures(cell: Cell, job: JobRecord): void {
    for (const address of job.failedWorkers) {
      const worker = cell.workerTable.byAddress.get(address);
      if (worker?.failedJobIds.delete(job.id) !== true) continue;
      const staysEjected = worker.failedJobIds.size >= cell.limits.workerFailures;
      if (worker.state === 'ejected' && !staysEjected) reinstate(cell, worker);
    }
  },

  /** Starts to probe the workers whose ejection time has passed: each accepts one task. */
  startProbes(cell: Cell, nowMs: number): void {
    for (const worker of cell.ejectedWorkers) {
      if (worker.probeAtMs > nowMs) continue;
      worker.state = lifecycles.worker.step(worker.state, 'probe');
      cell.ejectedWorkers.delete(worker);
      cell.workerTable.refresh(worker);
      cell.releaseCount += 1;
    }
  },
};
