import { lifecycles } from '@acaciahoist/lifecycles';
import type { PartitionState } from './partition-state.js';
import type { JobRecord } from './job-record.js';
import type { WorkerRecord } from './worker-record.js';

/** Ejects the worker until it is probed, for longer at each ejection without a success since. */
function eject(partition: PartitionState, worker: WorkerRecord, nowMs: number): void {
  const { ejectionMs, maxEjectionMs } = partition.limits;
  const delayMs = Math.min(maxEjectionMs, ejectionMs * 2 ** Math.min(20, worker.ejectionCount));
  worker.state = lifecycles.worker.step(worker.state, 'eject');
  worker.ejectionCount += 1;
  worker.probeAtMs = nowMs + delayMs * (0.75 + 0.5 * partition.nextRandom());
  partition.ejectedWorkers.add(worker);
  partition.workerTable.refresh(worker);
}

/** Lets the worker accept tasks without limit again. */
function reinstate(partition: PartitionState, worker: WorkerRecord): void {
  worker.state = lifecycles.worker.step(worker.state, 'resume');
  partition.ejectedWorkers.delete(worker);
  partition.workerTable.refresh(worker);
  partition.releaseCount += 1;
}

/** Ejects workers on which several different jobs fail, and probes them later with one task. */
export const workerHealth = {
  /** Records a failure; ejects the worker after failures of several jobs, or of one while it is probed. */
  recordFailure(
    partition: PartitionState,
    worker: WorkerRecord,
    job: JobRecord,
    nowMs: number,
  ): void {
    worker.failedJobIds.add(job.id);
    job.failedWorkers.add(worker.address);
    if (worker.state === 'probing') eject(partition, worker, nowMs);
    if (worker.state !== 'active') return;
    if (worker.failedJobIds.size >= partition.limits.workerFailures)
      eject(partition, worker, nowMs);
  },

  /** Clears the failures of the worker and ends its ejection or probe. */
  recordSuccess(partition: PartitionState, worker: WorkerRecord): void {
    worker.failedJobIds.clear();
    worker.ejectionCount = 0;
    if (worker.state === 'probing' || worker.state === 'ejected') reinstate(partition, worker);
  },

  /**
   * Removes a job that fails on several workers from the failures of these workers, because the
   * fault is in the job. Ends the ejection of a worker on which too few other jobs have failed.
   */
  clearFailures(partition: PartitionState, job: JobRecord): void {
    for (const address of job.failedWorkers) {
      const worker = partition.workerTable.byAddress.get(address);
      if (worker?.failedJobIds.delete(job.id) !== true) continue;
      const staysEjected = worker.failedJobIds.size >= partition.limits.workerFailures;
      if (worker.state === 'ejected' && !staysEjected) reinstate(partition, worker);
    }
  },

  /**
   * Starts to probe the workers whose ejection time has passed: each accepts one task beside those that
   * already run there. Ends the probes whose task has run for long enough; a service task never completes.
   */
  updateProbes(partition: PartitionState, nowMs: number): void {
    for (const worker of partition.ejectedWorkers) {
      if (worker.state === 'probing') {
        const { probeTask } = worker;
        const hasPassed =
          probeTask?.isStartConfirmed === true &&
          nowMs - probeTask.startedAtMs >= partition.limits.probeMs;
        if (hasPassed) workerHealth.recordSuccess(partition, worker);
      } else if (worker.probeAtMs <= nowMs) {
        worker.state = lifecycles.worker.step(worker.state, 'probe');
        worker.probeTask = null;
        partition.workerTable.refresh(worker);
        partition.releaseCount += 1;
      }
    }
  },
};
