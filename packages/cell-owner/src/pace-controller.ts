import { paceBestEffortTasks } from '@acaciahoist/cell-planner/pace-best-effort-tasks';
import { PaceReply } from '@acaciahoist/cell-types/pace-reply';
import { callTimeouts } from './call-timeouts.js';
import { listInterferingRuns } from './list-interfering-runs.js';
import type { OwnerContext } from './owner-context.js';
import type { TrackedRun } from './tracked-run.js';
import type { WorkerSession } from './worker-session.js';

/** Paces the best-effort tasks of a worker by the tail latency of the serving tasks there. */
export class PaceController {
  static create(context: OwnerContext): PaceController {
    return new PaceController(context);
  }

  private constructor(private readonly context: OwnerContext) {}

  /** Sends the pace calls that are due; must be called when a worker has listed its runs. */
  adjust(session: WorkerSession): void {
    const nowMs = this.context.clock.monotonicMs();
    const running = [...this.context.runs.listOn(session.id)].filter(
      ({ phase }) => phase === 'running',
    );
    const { servingRuns, bestEffortRuns } = listInterferingRuns(running, this.context.state);
    if (bestEffortRuns.length === 0) return;
    const paceCalls = paceBestEffortTasks(
      servingRuns.map(({ tailMs, targetMs }) => ({ tailMs, targetMs })),
      bestEffortRuns.map(({ task, pacedPercent, pacedAtMs }) => ({
        task,
        percent: pacedPercent,
        sincePacedMs: nowMs - pacedAtMs,
      })),
    );
    for (const { task, percent } of paceCalls) {
      const trackedRun = bestEffortRuns.find((candidate) => candidate.task === task);
      if (trackedRun !== undefined) void this.pace(session, trackedRun, percent);
    }
  }

  private async pace(
    session: WorkerSession,
    trackedRun: TrackedRun,
    percent: number,
  ): Promise<void> {
    const { clock, log, token, onFenced, loopDelayMs } = this.context;
    const { task, run } = trackedRun;
    log('info', 'run-paced', {
      task,
      worker: session.id,
      from: trackedRun.pacedPercent ?? null,
      percent,
    });
    trackedRun.pacedPercent = percent;
    trackedRun.pacedAtMs = clock.monotonicMs();
    const timeoutMs = callTimeouts.otherMs(loopDelayMs());
    const reply = await session.client.pace(task, run, percent, token, timeoutMs);
    if (reply === PaceReply.fenced) onFenced();
    // It is unknown whether the call was executed: the next adjustment sends another one.
    if (reply === PaceReply.failed) trackedRun.pacedPercent = undefined;
  }
}
