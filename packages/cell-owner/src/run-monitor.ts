import { taskName } from '@acaciahoist/cell-state/task-name';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { limits } from './limits.js';
import type { OwnerContext } from './owner-context.js';
import type { RunView } from './run-view.js';
import type { WorkerSession } from './worker-session.js';

/**
 * Watches the progress and the ends of runs, records them for the health of their workers and stops
 * stalled runs.
 */
export class RunMonitor {
  static create(context: OwnerContext): RunMonitor {
    return new RunMonitor(context);
  }

  private constructor(private readonly context: OwnerContext) {}

  /** Records the failure or the speed of a run that has ended. */
  checkEnd(view: RunView, how: RunEnd): void {
    const { workerHealth, clock } = this.context;
    if (how === RunEnd.failed && workerHealth.recordFailure(view.worker, taskName.jobOf(view.task)))
      this.reportExclusion(view.worker);
    if (how === RunEnd.done) this.recordSpeed(view, clock.monotonicMs() - view.knownSinceMs);
  }

  /** Records the speed of a run by its progress, and stops one that is stalled. */
  checkProgress(session: WorkerSession, view: RunView, nowMs: number): void {
    const step = this.context.state.findStep(view.task);
    if (step === undefined || step.longRunning) return;
    // A paced run makes less progress or none, which says nothing about the worker.
    if (step.usesSpareCpu && view.pacedPercent !== 100) {
      view.percentAtMs = nowMs;
      view.isSpeedRecorded = true;
      return;
    }
    if (view.percent >= limits.minSpeedPercent)
      this.recordSpeed(view, ((view.percentAtMs - view.knownSinceMs) * 100) / view.percent);
    const stallMs = step.gang ? limits.gangStallMs : limits.stallMs;
    if (view.percent >= 100 || nowMs - view.percentAtMs < stallMs) return;
    if (!step.gang && this.context.workerHealth.recordStall(view.worker))
      this.reportExclusion(view.worker);
    this.context.sendStop(session, view);
  }

  /** Records the speed of a run for its worker, once a run; `totalMs` is the run's whole duration. */
  private recordSpeed(view: RunView, totalMs: number): void {
    const taskEntry = this.context.state.findTask(view.task);
    const step = this.context.state.findStep(view.task);
    if (view.isSpeedRecorded || taskEntry === undefined || step === undefined) return;
    view.isSpeedRecorded = true;
    // The slowest member sets the speed of a gang, and data on another rack slows down its task.
    if (view.estimateMs === 0 || step.gang || step.dataRack !== '') return;
    const queue = taskEntry.progress.job.queue.name;
    if (this.context.workerHealth.recordSpeed(view.worker, queue, totalMs / view.estimateMs))
      this.reportExclusion(view.worker);
  }

  private reportExclusion(worker: string): void {
    this.context.count('workers_out_total');
    this.context.log('warn', 'worker-excluded', {
      worker,
      reason: this.context.workerHealth.reasonOf(worker),
    });
  }
}
