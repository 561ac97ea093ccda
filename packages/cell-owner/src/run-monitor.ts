import { taskName } from '@acaciahoist/cell-state/task-name';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { limits } from './limits.js';
import type { OwnerContext } from './owner-context.js';
import type { TrackedRun } from './tracked-run.js';
import type { WorkerSession } from './worker-session.js';

/** Records the speed, the failures and the stalls of runs in `WorkerHealth`, and stops stalled runs. */
export class RunMonitor {
  static create(context: OwnerContext): RunMonitor {
    return new RunMonitor(context);
  }

  private constructor(private readonly context: OwnerContext) {}

  /** Records the failure or the speed of a run that has ended. */
  recordEnd(trackedRun: TrackedRun, how: RunEnd): void {
    const { workerHealth, clock } = this.context;
    if (
      how === RunEnd.failed &&
      workerHealth.recordFailure(trackedRun.worker, taskName.jobOf(trackedRun.task))
    )
      this.reportEjection(trackedRun.worker);
    if (how === RunEnd.done)
      this.recordSpeed(trackedRun, clock.monotonicMs() - trackedRun.trackedSinceMs);
  }

  /** Records the speed of a run that follows from its progress, and stops the run if it is stalled. */
  checkProgress(session: WorkerSession, trackedRun: TrackedRun, nowMs: number): void {
    const step = this.context.state.findStep(trackedRun.task);
    if (step === undefined || step.longRunning) return;
    // A paced run makes less progress or none, which says nothing about the worker.
    if (step.usesSpareCpu && trackedRun.pacedPercent !== 100) {
      trackedRun.lastProgressAtMs = nowMs;
      trackedRun.isSpeedRecorded = true;
      return;
    }
    if (trackedRun.percent >= limits.minSpeedPercent)
      this.recordSpeed(
        trackedRun,
        ((trackedRun.lastProgressAtMs - trackedRun.trackedSinceMs) * 100) / trackedRun.percent,
      );
    const stallMs = step.gang ? limits.gangStallMs : limits.stallMs;
    if (trackedRun.percent >= 100 || nowMs - trackedRun.lastProgressAtMs < stallMs) return;
    if (!step.gang && this.context.workerHealth.recordStall(trackedRun.worker))
      this.reportEjection(trackedRun.worker);
    this.context.sendStop(session, trackedRun);
  }

  /** Records the speed of a run at most once; `totalMs` is the measured or projected duration of the run. */
  private recordSpeed(trackedRun: TrackedRun, totalMs: number): void {
    const taskEntry = this.context.state.findTask(trackedRun.task);
    const step = this.context.state.findStep(trackedRun.task);
    if (trackedRun.isSpeedRecorded || taskEntry === undefined || step === undefined) return;
    trackedRun.isSpeedRecorded = true;
    // The slowest member sets the speed of a gang, and data on another rack slows down its task.
    if (trackedRun.estimateMs === 0 || step.gang || step.dataRack !== '') return;
    const queue = taskEntry.progress.job.queue.name;
    if (
      this.context.workerHealth.recordSpeed(
        trackedRun.worker,
        queue,
        totalMs / trackedRun.estimateMs,
      )
    )
      this.reportEjection(trackedRun.worker);
  }

  private reportEjection(worker: string): void {
    this.context.count('workers_out_total');
    this.context.log('warn', 'worker-ejected', {
      worker,
      reason: this.context.workerHealth.reasonOf(worker),
    });
  }
}
