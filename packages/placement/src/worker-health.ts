import { lifecycles } from '@acaciahoist/lifecycles';
import type { Cell } from './cell.js';
import type { JobRecord } from './job-record.js';
import type { WorkerRecord } from './worker-record.js';

function exclude(cell: Cell, worker: WorkerRecord, nowMs: number): void {
  const { exclusionMs: ejectionMs, maxExclusionMs: maxEjectionMs } = cell.limits;
  const delayMs = Math.min(maxEjectionMs, ejectionMs * 2 ** Math.min(20, worker.exclusionCount));
  worker.state = lifecycles.worker.step(worker.state, 'eject');
  worker.exclusionCount += 1;
  worker.probationAtMs = nowMs + delayMs * (0.75 + 0.5 * cell.nextRandom());
  cell.excludedWorkers.add(worker);
  cell.table.refresh(worker);
}

function reinstate(cell: Cell, worker: WorkerRecord): void {
  worker.state = lifecycles.worker.step(worker.state, 'resume');
  cell.excludedWorkers.delete(worker);
  cell.table.refresh(worker);
  cell.releaseCount += 1;
}

/** Takes workers that fail every task out of service and tries them again. */
export const workerHealth = {
  recordFailure(cell: Cell, worker: WorkerRecord, job: JobRecord, nowMs: number): void {
    worker.failedJobIds.add(job.id);
    job.failedWorkers.add(worker.address);
    if (worker.state === 'probing') exclude(cell, worker, nowMs);
    if (worker.state !== 'active') return;
    if (worker.failedJobIds.size >= cell.limits.workerFailures) exclude(cell, worker, nowMs);
  },

  recordSuccess(cell: Cell, worker: WorkerRecord): void {
    worker.failedJobIds.clear();
    worker.exclusionCount = 0;
    if (worker.state === 'probing' || worker.state === 'ejected') reinstate(cell, worker);
  },

  /** Takes back the failures of a job that fails everywhere: the fault is in the job. */
  clearFailures(cell: Cell, job: JobRecord): void {
    for (const address of job.failedWorkers) {
      const worker = cell.table.byAddress.get(address);
      if (worker?.failedJobIds.delete(job.id) !== true) continue;
      const staysExcluded = worker.failedJobIds.size >= cell.limits.workerFailures;
      if (worker.state === 'ejected' && !staysExcluded) reinstate(cell, worker);
    }
  },

  /** Lets ejected workers whose back-off has passed take one task. */
  startProbation(cell: Cell, nowMs: number): void {
    for (const worker of cell.excludedWorkers) {
      if (worker.probationAtMs > nowMs) continue;
      worker.state = lifecycles.worker.step(worker.state, 'probe');
      cell.excludedWorkers.delete(worker);
      cell.table.refresh(worker);
      cell.releaseCount += 1;
    }
  },
};
