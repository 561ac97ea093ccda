import type { EndedRun } from '@acaciahoist/cell-types/ended-run';
import type { HoldReply } from '@acaciahoist/cell-types/hold-reply';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { callTimeouts } from './call-timeouts.js';
import { isWanted } from './is-wanted.js';
import type { OwnerContext } from './owner-context.js';
import { PaceController } from './pace-controller.js';
import type { RunMonitor } from './run-monitor.js';
import type { StallRecords } from './stall-records.js';
import type { TrackedRun } from './tracked-run.js';
import type { WorkerSession } from './worker-session.js';

/** Compares the runs that a worker lists with the recorded ones, and determines what became of each. */
export class RunTracker {
  static create(
    context: OwnerContext,
    monitor: RunMonitor,
    stallRecords: StallRecords,
  ): RunTracker {
    return new RunTracker(context, monitor, stallRecords);
  }

  private readonly paceController: PaceController;

  private constructor(
    private readonly context: OwnerContext,
    private readonly monitor: RunMonitor,
    private readonly stallRecords: StallRecords,
  ) {
    this.paceController = PaceController.create(context);
  }

  /**
   * Compares the runs in the reply to a hold call with the recorded ones, updates their state and resolves
   * the differences. The call was sent at `sentAtMs`.
   */
  reconcileRuns(
    session: WorkerSession,
    reply: Extract<HoldReply, { kind: 'held' }>,
    sentAtMs: number,
  ): void {
    if (this.context.isStopped()) return;
    const nowMs = this.context.clock.monotonicMs();
    const listAgeMs = nowMs - (session.lastListedAtMs ?? nowMs);
    session.lastListedAtMs = nowMs;
    this.reportUnreadableRows(session, reply.unreadableRows);
    // After a gap it is unknown when the runs that have ended meanwhile did so.
    if (listAgeMs > session.maxContactAgeMs)
      for (const trackedRun of this.context.runs.listOn(session.id)) trackedRun.isTimed = false;
    const listedTasks = new Set<string>();
    for (const ended of reply.ended) {
      listedTasks.add(ended.task);
      if (ended.number > session.lastReportedEnd) this.handleRunEnd(session, ended);
    }
    session.lastReportedEnd = Math.max(session.lastReportedEnd, reply.lastEnd);
    for (const listedRun of reply.running) {
      const trackedRun = this.context.runs.find(listedRun.task, listedRun.run);
      if (trackedRun?.worker !== session.id) {
        this.stopStrayRun(session, listedRun.task, listedRun.run);
        continue;
      }
      listedTasks.add(listedRun.task);
      const isInherited = trackedRun.phase === 'inherited';
      if (trackedRun.phase !== 'running') {
        this.context.begunJobs.confirmStart(taskName.jobOf(trackedRun.task));
        trackedRun.phase = 'running';
        trackedRun.startSettledAtMs = nowMs;
      }
      // After a gap between replies it is unknown when the run made its progress. The stall time restarts
      // then, because a gap says nothing about the speed of the worker.
      if (listedRun.percent !== trackedRun.percent || listAgeMs > session.maxContactAgeMs) {
        trackedRun.percent = listedRun.percent;
        trackedRun.lastProgressAtMs = nowMs;
      }
      if (isInherited) this.stallRecords.restore(trackedRun, nowMs);
      trackedRun.load = listedRun.load;
      if (listedRun.checkpoint !== '') trackedRun.checkpoint = listedRun.checkpoint;
      if (!isWanted(this.context.state, trackedRun)) this.context.sendStop(session, trackedRun);
      else this.monitor.checkProgress(session, trackedRun, nowMs);
    }
    // A run that is missing from an incomplete reply may still run, or its end may be listed later.
    const unlistedRuns = reply.isComplete ? [...this.context.runs.listOn(session.id)] : [];
    for (const trackedRun of unlistedRuns) {
      if (!listedTasks.has(trackedRun.task)) this.handleUnlistedRun(session, trackedRun, sentAtMs);
    }
    this.acknowledgeRunEnds(session);
    this.paceController.adjust(session);
  }

  /** Handles a run end that the worker lists for the first time. */
  private handleRunEnd(session: WorkerSession, ended: EndedRun): void {
    const trackedRun = this.context.runs.find(ended.task, ended.run);
    if (trackedRun?.worker !== session.id) return;
    this.monitor.recordEnd(trackedRun, ended.how);
    if (ended.checkpoint !== '') trackedRun.checkpoint = ended.checkpoint;
    this.context.proposeRunEnd(trackedRun, ended.how, 'reported');
  }

  /** Acknowledges the reported run ends of the worker once all of them are recorded. */
  acknowledgeRunEnds(session: WorkerSession): void {
    for (const trackedRun of this.context.runs.listOn(session.id))
      if (this.context.proposals.hasRunEnd(trackedRun.task, trackedRun.run)) return;
    session.acknowledgedEnd = session.lastReportedEnd;
  }

  /** Handles a recorded run that the worker lists neither as running nor as ended. */
  private handleUnlistedRun(
    session: WorkerSession,
    trackedRun: TrackedRun,
    sentAtMs: number,
  ): void {
    if (trackedRun.phase === 'sending' || sentAtMs < trackedRun.startSettledAtMs) return;
    if (this.context.proposals.hasRunEnd(trackedRun.task, trackedRun.run)) return;
    if (trackedRun.phase === 'unknown') {
      const isStopped = trackedRun.stopConfirmedAtMs > 0 && sentAtMs > trackedRun.stopConfirmedAtMs;
      if (isStopped) this.context.proposeRunEnd(trackedRun, RunEnd.lost, 'start-not-carried-out');
      else if (trackedRun.stopConfirmedAtMs === 0) this.context.sendStop(session, trackedRun);
      return;
    }
    // A worker that has seen this owner's token refuses starts of predecessors, so none arrives late.
    const reason = trackedRun.phase === 'inherited' ? 'start-not-carried-out' : 'not-listed';
    this.context.proposeRunEnd(trackedRun, RunEnd.lost, reason);
  }

  /** Logs the rows that could not be decoded when their number changes. */
  private reportUnreadableRows(session: WorkerSession, rows: number): void {
    if (rows === session.unreadableRows) return;
    session.unreadableRows = rows;
    this.context.log('warn', 'worker-rows-unreadable', { worker: session.id, rows });
  }

  /** Stops a run that is not recorded, such as one whose start was executed late. */
  private stopStrayRun(session: WorkerSession, task: string, run: number): void {
    this.context.log('warn', 'stray-run-stopped', { worker: session.id, task, run });
    this.context.count('stray_runs_total');
    const timeoutMs = callTimeouts.otherMs(this.context.loopDelayMs());
    void session.client.stop(task, run, this.context.token, timeoutMs);
  }
}
