import { paceFillers } from '@acaciahoist/cell-planner/pace-fillers';
import { PaceReply } from '@acaciahoist/cell-types/pace-reply';
import { callLimits } from './call-limits.js';
import type { OwnerContext } from './owner-context.js';
import type { RunView } from './run-view.js';
import type { WorkerLink } from './worker-link.js';

/** Paces the tasks of a worker that use spare processor time by the tails of those that serve there. */
export class PaceDesk {
  static create(context: OwnerContext): PaceDesk {
    return new PaceDesk(context);
  }

  private constructor(private readonly context: OwnerContext) {}

  /** To be called when a worker has told what runs there. */
  review(link: WorkerLink): void {
    const nowMs = this.context.clock.monotonicMs();
    const fillers: RunView[] = [];
    const serving: { tailMs: number; targetMs: number }[] = [];
    for (const view of this.context.runs.on(link.id)) {
      const step = this.context.state.stepOf(view.task);
      if (step === undefined || view.phase !== 'running') continue;
      if (step.usesSpareCpu) fillers.push(view);
      else if (step.tailTargetMs > 0)
        serving.push({ tailMs: view.load, targetMs: step.tailTargetMs });
    }
    if (fillers.length === 0) return;
    const orders = paceFillers(
      serving,
      fillers.map(({ task, pacedPercent, pacedMs }) => ({
        task,
        percent: pacedPercent,
        pacedForMs: nowMs - pacedMs,
      })),
    );
    for (const { task, percent } of orders) {
      const view = fillers.find((candidate) => candidate.task === task);
      if (view !== undefined) void this.pace(link, view, percent);
    }
  }

  private async pace(link: WorkerLink, view: RunView, percent: number): Promise<void> {
    const { clock, log, token, onFenced, loopDelayMs } = this.context;
    const { task, run } = view;
    log('info', 'run-paced', { task, worker: link.id, from: view.pacedPercent ?? null, percent });
    view.pacedPercent = percent;
    view.pacedMs = clock.monotonicMs();
    const timeoutMs = callLimits.otherMs(loopDelayMs());
    const reply = await link.client.pace(task, run, percent, token, timeoutMs);
    if (reply === PaceReply.fenced) onFenced();
    // Whether the order was carried out is not known: it is given again.
    if (reply === PaceReply.failed) view.pacedPercent = undefined;
  }
}
