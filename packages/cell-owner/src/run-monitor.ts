import { taskName } from '@acaciahoist/cell-state/task-name';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { computeStallLimit } from './compute-stall-limit.js';
import { correctRatio } from './correct-ratio.js';
import { limits } from './limits.js';
import type { OwnerContext } from './owner-context.js';
import { recordDuration } from './record-duration.js';
import type { StallRecords } from './stall-records.js';
import type { TrackedRun } from './tracked-run.js';
import type { WorkerSession } from './worker-session.js';

/** Records the speed, the failures and the stalls of runs in `WorkerHealth`, and stops stalled runs. */
export class RunMonitor {
  static create(context: OwnerContext, stallRecords: StallRecords): RunMonitor {
    return new RunMonitor(context, stallRecords);
  }

  /** Number of runs that were stopped as stalled, by task. */
  private readonly stallCounts = new Map<string, number>();

  private constructor(
    private readonly context: OwnerContext,
    private readonly stallRecords: StallRecords,
  ) {}

  /** Records the failure or the speed of a run that has ended. */
  recordEnd(trackedRun: TrackedRun, how: RunEnd): void {
    const { workerHealth, clock } = this.context;
    if (
      how === RunEnd.failed &&
      workerHealth.recordFailure(trackedRun.worker, taskName.jobOf(trackedRun.task))
    )
      this.reportEjection(trackedRun.worker);
    if (how !== RunEnd.done) return;
    const nowMs = clock.monotonicMs();
    this.recordSpeed(trackedRun, nowMs - trackedRun.trackedSinceMs);
    recordDuration(this.context, trackedRun, nowMs);
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
    if (this.isStalled(trackedRun, step.gang, nowMs)) this.context.sendStop(session, trackedRun);
  }

  /** Removes what is kept for the tasks of a job. */
  forgetJob(job: string): void {
    for (const task of this.stallCounts.keys())
      if (taskName.jobOf(task) === job) this.stallCounts.delete(task);
  }

  /** Returns whether the run is stalled; it stays so until it has ended. */
  private isStalled(trackedRun: TrackedRun, isGang: boolean, nowMs: number): boolean {
    if (trackedRun.isStalled) return true;
    const { task, percent, lastProgressAtMs, trackedSinceMs, estimateMs, worker } = trackedRun;
    const earlierStalls = this.stallCounts.get(task) ?? 0;
    const limitMs = computeStallLimit({
      minMs: Math.max(
        isGang ? limits.gangStallMs : limits.stallMs,
        this.stallRecords.minLimitMs(trackedRun),
      ),
      estimateMs,
      percent,
      workedMs: lastProgressAtMs - trackedSinceMs,
      earlierStalls,
    });
    if (percent < 100) this.stallRecords.update(trackedRun, limitMs, nowMs);
    if (percent >= 100 || nowMs - lastProgressAtMs < limitMs) return false;
    trackedRun.isStalled = true;
    this.stallCounts.set(task, earlierStalls + 1);
    this.context.count('runs_stalled_total');
    this.context.log('warn', 'run-stalled', {
      task,
      run: trackedRun.run,
      worker,
      percent,
      limitMs: Math.round(limitMs),
      earlierStalls,
    });
    // A task that stalls again is the likely cause itself.
    if (!isGang && earlierStalls === 0 && this.context.workerHealth.recordStall(worker))
      this.reportEjection(worker);
    return true;
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
    const speed = this.context.workerHealth.speeds.speedOf(trackedRun.worker, trackedRun.born);
    if (
      this.context.workerHealth.recordSpeed(
        trackedRun.worker,
        queue,
        correctRatio(totalMs / trackedRun.estimateMs, speed),
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
