import type { EndedRun } from '@acaciahoist/cell-types/ended-run';
import type { HoldReply } from '@acaciahoist/cell-types/hold-reply';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { callLimits } from './call-limits.js';
import type { OwnerContext } from './owner-context.js';
import { PaceDesk } from './pace-desk.js';
import type { RunJudge } from './run-judge.js';
import type { RunView } from './run-view.js';
import type { WorkerLink } from './worker-link.js';

/** Compares what a worker lists with what is recorded, and concludes what became of each run. */
export class RunTracker {
  static create(context: OwnerContext, judge: RunJudge): RunTracker {
    return new RunTracker(context, judge);
  }

  private readonly pacing: PaceDesk;
  /** Time of the newest list of runs by worker. */
  private readonly heldMs = new Map<string, number>();

  private constructor(
    private readonly context: OwnerContext,
    private readonly judge: RunJudge,
  ) {
    this.pacing = PaceDesk.create(context);
  }

  /** A worker answered a hold call that was sent at `sentMs`. */
  held(link: WorkerLink, reply: Extract<HoldReply, { kind: 'held' }>, sentMs: number): void {
    if (this.context.isStopped()) return;
    const nowMs = this.context.clock.monotonicMs();
    const unseenMs = nowMs - (this.heldMs.get(link.id) ?? nowMs);
    this.heldMs.set(link.id, nowMs);
    const listed = new Set<string>();
    for (const ended of reply.ended) {
      listed.add(ended.task);
      if (ended.number > link.seenEnd) this.runEnded(link, ended);
    }
    for (const row of reply.running) {
      const view = this.context.runs.get(row.task);
      const isKnown = view?.worker === link.id && view.run === row.run;
      if (!isKnown) {
        this.stopStray(link, row.task, row.run);
        continue;
      }
      listed.add(row.task);
      if (view.phase !== 'running') {
        this.context.begun.confirm(taskName.jobOf(view.task));
        view.phase = 'running';
        view.settledMs = nowMs;
      }
      // What the worker did while it did not answer says nothing about its speed.
      if (row.percent !== view.percent || unseenMs > link.silenceLimitMs) {
        view.percent = row.percent;
        view.percentAtMs = nowMs;
      }
      view.load = row.load;
      if (row.checkpoint !== '') view.checkpoint = row.checkpoint;
      if (!this.isWanted(view)) this.context.sendStop(link, view);
      else this.judge.checkProgress(link, view, nowMs);
    }
    for (const view of [...this.context.runs.on(link.id)]) {
      if (!listed.has(view.task)) this.runMissing(link, view, sentMs);
    }
    this.acknowledgeEnds(link);
    this.pacing.review(link);
  }

  private runEnded(link: WorkerLink, ended: EndedRun): void {
    link.seenEnd = Math.max(link.seenEnd, ended.number);
    const view = this.context.runs.get(ended.task);
    if (view?.run !== ended.run || view.worker !== link.id) return;
    this.judge.judgeEnd(view, ended.how);
    if (ended.checkpoint !== '') view.checkpoint = ended.checkpoint;
    this.context.proposeEnd(view, ended.how, 'reported');
  }

  /** Ends count as taken note of only when all of them are recorded. */
  acknowledgeEnds(link: WorkerLink): void {
    for (const view of this.context.runs.on(link.id))
      if (this.context.proposals.hasEnd(view.task, view.run)) return;
    link.acknowledgedEnd = link.seenEnd;
  }

  /** A recorded run that the worker lists neither as running nor as ended. */
  private runMissing(link: WorkerLink, view: RunView, sentMs: number): void {
    if (view.phase === 'sending' || sentMs < view.settledMs) return;
    if (this.context.proposals.hasEnd(view.task, view.run)) return;
    if (view.phase === 'unknown') {
      const isStopped = view.stopConfirmedMs > 0 && sentMs > view.stopConfirmedMs;
      if (isStopped) this.context.proposeEnd(view, RunEnd.lost, 'start-not-carried-out');
      else if (view.stopConfirmedMs === 0) this.context.sendStop(link, view);
      return;
    }
    // A worker that has seen this owner's token refuses the starts of former owners.
    const reason = view.phase === 'inherited' ? 'start-not-carried-out' : 'not-listed';
    this.context.proposeEnd(view, RunEnd.lost, reason);
  }

  private isWanted(view: RunView): boolean {
    const found = this.context.state.taskOf(view.task);
    return found?.task.phase === 'placed' && found.task.run === view.run;
  }

  /** Stops what runs without a record, such as a start that was carried out late. */
  private stopStray(link: WorkerLink, task: string, run: number): void {
    this.context.log('warn', 'stray-run-stopped', { worker: link.id, task, run });
    this.context.count('stray_runs_total');
    const timeoutMs = callLimits.otherMs(this.context.loopDelayMs());
    void link.client.stop(task, run, this.context.token, timeoutMs);
  }
}
