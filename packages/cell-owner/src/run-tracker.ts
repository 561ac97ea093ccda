import type { EndedRun } from '@acaciahoist/cell-types/ended-run';
import type { HoldReply } from '@acaciahoist/cell-types/hold-reply';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { callTimeouts } from './call-timeouts.js';
import type { OwnerContext } from './owner-context.js';
import { PaceController } from './pace-controller.js';
import type { RunMonitor } from './run-monitor.js';
import type { RunView } from './run-view.js';
import type { WorkerSession } from './worker-session.js';

/** Compares the runs that a worker lists with the recorded ones, and determines what became of each. */
export class RunTracker {
  static create(context: OwnerContext, monitor: RunMonitor): RunTracker {
    return new RunTracker(context, monitor);
  }

  private readonly paceController: PaceController;
  /** Monotonic time of the newest list of runs, by worker. */
  private readonly lastListedMs = new Map<string, number>();

  private constructor(
    private readonly context: OwnerContext,
    private readonly monitor: RunMonitor,
  ) {
    this.paceController = PaceController.create(context);
  }

  /** Handles the answer of a worker to a hold call that was sent at `sentMs`. */
  handleHeld(
    session: WorkerSession,
    reply: Extract<HoldReply, { kind: 'held' }>,
    sentMs: number,
  ): void {
    if (this.context.isStopped()) return;
    const nowMs = this.context.clock.monotonicMs();
    const listAgeMs = nowMs - (this.lastListedMs.get(session.id) ?? nowMs);
    this.lastListedMs.set(session.id, nowMs);
    const listed = new Set<string>();
    for (const ended of reply.ended) {
      listed.add(ended.task);
      if (ended.number > session.lastReportedEnd) this.handleRunEnd(session, ended);
    }
    for (const listedRun of reply.running) {
      const view = this.context.runs.get(listedRun.task);
      const isKnown = view?.worker === session.id && view.run === listedRun.run;
      if (!isKnown) {
        this.stopStrayRun(session, listedRun.task, listedRun.run);
        continue;
      }
      listed.add(listedRun.task);
      if (view.phase !== 'running') {
        this.context.begunJobs.confirmStart(taskName.jobOf(view.task));
        view.phase = 'running';
        view.startSettledMs = nowMs;
      }
      // After a time without answers it is unknown when the run made its progress: its stall time starts
      // anew, as the silence says nothing about the speed of the worker.
      if (listedRun.percent !== view.percent || listAgeMs > session.maxContactAgeMs) {
        view.percent = listedRun.percent;
        view.percentAtMs = nowMs;
      }
      view.load = listedRun.load;
      if (listedRun.checkpoint !== '') view.checkpoint = listedRun.checkpoint;
      if (!this.isCurrentRun(view)) this.context.sendStop(session, view);
      else this.monitor.checkProgress(session, view, nowMs);
    }
    for (const view of [...this.context.runs.listOn(session.id)]) {
      if (!listed.has(view.task)) this.handleUnlistedRun(session, view, sentMs);
    }
    this.acknowledgeRunEnds(session);
    this.paceController.adjust(session);
  }

  private handleRunEnd(session: WorkerSession, ended: EndedRun): void {
    session.lastReportedEnd = Math.max(session.lastReportedEnd, ended.number);
    const view = this.context.runs.get(ended.task);
    if (view?.run !== ended.run || view.worker !== session.id) return;
    this.monitor.checkEnd(view, ended.how);
    if (ended.checkpoint !== '') view.checkpoint = ended.checkpoint;
    this.context.proposeRunEnd(view, ended.how, 'reported');
  }

  /** Acknowledges the run ends of the worker once all of them are recorded. */
  acknowledgeRunEnds(session: WorkerSession): void {
    for (const view of this.context.runs.listOn(session.id))
      if (this.context.proposals.hasRunEnd(view.task, view.run)) return;
    session.acknowledgedEnd = session.lastReportedEnd;
  }

  /** Handles a recorded run that the worker lists neither as running nor as ended. */
  private handleUnlistedRun(session: WorkerSession, view: RunView, sentMs: number): void {
    if (view.phase === 'sending' || sentMs < view.startSettledMs) return;
    if (this.context.proposals.hasRunEnd(view.task, view.run)) return;
    if (view.phase === 'unknown') {
      const isStopped = view.stopConfirmedMs > 0 && sentMs > view.stopConfirmedMs;
      if (isStopped) this.context.proposeRunEnd(view, RunEnd.lost, 'start-not-carried-out');
      else if (view.stopConfirmedMs === 0) this.context.sendStop(session, view);
      return;
    }
    // A worker that has seen this owner's token refuses starts of predecessors, so none arrives late.
    const reason = view.phase === 'inherited' ? 'start-not-carried-out' : 'not-listed';
    this.context.proposeRunEnd(view, RunEnd.lost, reason);
  }

  /** True while the cell state has the run as the current one of its task. */
  private isCurrentRun(view: RunView): boolean {
    const taskEntry = this.context.state.findTask(view.task);
    return taskEntry?.task.phase === 'placed' && taskEntry.task.run === view.run;
  }

  /** Stops a run that is not recorded, such as one whose start was carried out late. */
  private stopStrayRun(session: WorkerSession, task: string, run: number): void {
    this.context.log('warn', 'stray-run-stopped', { worker: session.id, task, run });
    this.context.count('stray_runs_total');
    const timeoutMs = callTimeouts.otherMs(this.context.loopDelayMs());
    void session.client.stop(task, run, this.context.token, timeoutMs);
  }
}
