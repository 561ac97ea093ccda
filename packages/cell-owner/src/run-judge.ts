import { taskName } from '@acaciahoist/cell-state/task-name';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { limits } from './limits.js';
import type { OwnerContext } from './owner-context.js';
import type { RunView } from './run-view.js';
import type { WorkerLink } from './worker-link.js';

/** Judges workers by the progress and the ends of their runs. */
export class RunJudge {
  static create(context: OwnerContext): RunJudge {
    return new RunJudge(context);
  }

  private constructor(private readonly context: OwnerContext) {}

  /** A run has ended. */
  judgeEnd(view: RunView, how: RunEnd): void {
    const { health, clock } = this.context;
    if (how === RunEnd.failed && health.failed(view.worker, taskName.jobOf(view.task)))
      this.noteOut(view.worker);
    if (how === RunEnd.done) this.measure(view, clock.monotonicMs() - view.sinceMs);
  }

  /** Judges a run by its progress; stops one that stands still. */
  checkProgress(link: WorkerLink, view: RunView, nowMs: number): void {
    const step = this.context.state.stepOf(view.task);
    if (step === undefined || step.longRunning) return;
    // A run that was told to give way makes less progress or none.
    if (step.usesSpareCpu && view.pacedPercent !== 100) {
      view.percentAtMs = nowMs;
      view.isMeasured = true;
      return;
    }
    if (view.percent >= limits.measurablePercent)
      this.measure(view, ((view.percentAtMs - view.sinceMs) * 100) / view.percent);
    const stallMs = step.gang ? limits.gangStallMs : limits.stallMs;
    if (view.percent >= 100 || nowMs - view.percentAtMs < stallMs) return;
    if (!step.gang && this.context.health.stalled(view.worker)) this.noteOut(view.worker);
    this.context.sendStop(link, view);
  }

  /** Counts the speed of a run for its worker, once a run. */
  private measure(view: RunView, totalMs: number): void {
    const found = this.context.state.taskOf(view.task);
    const step = this.context.state.stepOf(view.task);
    if (view.isMeasured || found === undefined || step === undefined) return;
    view.isMeasured = true;
    // The slowest member sets the speed of a gang, and data on another rack that of its task.
    if (view.estimateMs === 0 || step.gang || step.dataRack !== '') return;
    const queue = found.progress.job.queue.name;
    if (this.context.health.measured(view.worker, queue, totalMs / view.estimateMs))
      this.noteOut(view.worker);
  }

  private noteOut(worker: string): void {
    this.context.count('workers_out_total');
    this.context.log('warn', 'worker-out', {
      worker,
      reason: this.context.health.reasonOf(worker),
    });
  }
}
