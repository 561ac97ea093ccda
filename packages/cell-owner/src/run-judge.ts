import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { taskName } from '@acaciahoist/cell-state/task-name';
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
    const found = this.context.state.taskOf(view.task);
    if (found === undefined || view.estimateMs === 0) return;
    const nowMs = this.context.clock.monotonicMs();
    const queue = found.progress.job.queue.name;
    let isOut = false;
    if (how === RunEnd.failed)
      isOut = this.context.health.failed(view.worker, view.task.slice(0, 16));
    else if (how === RunEnd.done && !view.isMeasured)
      isOut = this.context.health.succeeded(
        view.worker,
        queue,
        (nowMs - view.sinceMs) / view.estimateMs,
      );
    if (isOut) this.noteOut(view.worker);
  }

  /** Judges a run by its progress; stops one that stands still. */
  checkProgress(link: WorkerLink, view: RunView, nowMs: number): void {
    const found = this.context.state.taskOf(view.task);
    const ref = taskName.parse(view.task);
    const step = ref && found?.progress.job.steps[ref.step];
    if (found === undefined || step === undefined || step.longRunning) return;
    if (!view.isMeasured && view.percent >= limits.measurablePercent && view.estimateMs > 0) {
      const totalMs = ((view.percentAtMs - view.sinceMs) * 100) / view.percent;
      if (this.context.health.isSlow(found.progress.job.queue.name, totalMs / view.estimateMs)) {
        view.isMeasured = true;
        if (this.context.health.slowed(view.worker)) this.noteOut(view.worker);
      }
    }
    const stallMs = step.gang ? limits.gangStallMs : limits.stallMs;
    if (view.percent >= 100 || nowMs - view.percentAtMs < stallMs) return;
    if (!step.gang && this.context.health.stalled(view.worker)) this.noteOut(view.worker);
    this.context.sendStop(link, view);
  }

  private noteOut(worker: string): void {
    this.context.count('workers_out_total');
    this.context.log('warn', 'worker-out', {
      worker,
      reason: this.context.health.reasonOf(worker),
    });
  }
}
