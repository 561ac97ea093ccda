import { paceBestEffortTasks } from '@acaciahoist/cell-planner/pace-best-effort-tasks';
import { PaceReply } from '@acaciahoist/cell-types/pace-reply';
import { callTimeouts } from './call-timeouts.js';
import type { OwnerContext } from './owner-context.js';
import type { RunView } from './run-view.js';
import type { WorkerSession } from './worker-session.js';

/** Paces the best-effort tasks of a worker by the tail response times of the serving tasks there. */
export class PaceController {
  static create(context: OwnerContext): PaceController {
    return new PaceController(context);
  }

  private constructor(private readonly context: OwnerContext) {}

  /** Sends the pace orders that are due; to be called when a worker has listed its runs. */
  adjust(session: WorkerSession): void {
    const nowMs = this.context.clock.monotonicMs();
    const bestEffortRuns: RunView[] = [];
    const servingTasks: { tailMs: number; targetMs: number }[] = [];
    for (const view of this.context.runs.listOn(session.id)) {
      const step = this.context.state.findStep(view.task);
      if (step === undefined || view.phase !== 'running') continue;
      if (step.usesSpareCpu) bestEffortRuns.push(view);
      else if (step.tailTargetMs > 0)
        servingTasks.push({ tailMs: view.load, targetMs: step.tailTargetMs });
    }
    if (bestEffortRuns.length === 0) return;
    const paceOrders = paceBestEffortTasks(
      servingTasks,
      bestEffortRuns.map(({ task, pacedPercent, pacedMs }) => ({
        task,
        percent: pacedPercent,
        sincePacedMs: nowMs - pacedMs,
      })),
    );
    for (const { task, percent } of paceOrders) {
      const view = bestEffortRuns.find((candidate) => candidate.task === task);
      if (view !== undefined) void this.pace(session, view, percent);
    }
  }

  private async pace(session: WorkerSession, view: RunView, percent: number): Promise<void> {
    const { clock, log, token, onFenced, loopDelayMs } = this.context;
    const { task, run } = view;
    log('info', 'run-paced', {
      task,
      worker: session.id,
      from: view.pacedPercent ?? null,
      percent,
    });
    view.pacedPercent = percent;
    view.pacedMs = clock.monotonicMs();
    const timeoutMs = callTimeouts.otherMs(loopDelayMs());
    const reply = await session.client.pace(task, run, percent, token, timeoutMs);
    if (reply === PaceReply.fenced) onFenced();
    // Whether the order was carried out is unknown: the next adjustment sends it again.
    if (reply === PaceReply.failed) view.pacedPercent = undefined;
  }
}
