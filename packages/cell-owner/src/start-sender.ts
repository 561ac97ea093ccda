import { Instant } from '@acaciahoist/clock/instant';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { StartReply } from '@acaciahoist/cell-types/start-reply';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { computeCharge } from '@acaciahoist/cell-planner/compute-charge';
import { computeDemand } from '@acaciahoist/cell-planner/compute-demand';
import { findTaskKind } from '@acaciahoist/cell-planner/find-task-kind';
import { gangCheckpoint } from '@acaciahoist/cell-state/gang-checkpoint';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { callTimeouts } from './call-timeouts.js';
import { isWanted } from './is-wanted.js';
import { limits } from './limits.js';
import { mayHaveCopies } from './may-have-copies.js';
import type { OwnerContext } from './owner-context.js';
import type { TrackedRun } from './tracked-run.js';
import type { WorkerSession } from './worker-session.js';

/** Sends the recorded starts, and determines what became of each. */
export class StartSender {
  static create(context: OwnerContext): StartSender {
    return new StartSender(context);
  }

  private constructor(private readonly context: OwnerContext) {}

  /** Handles the record of a start after it was applied, and sends the start if the record was effective. */
  handleStartRecord(
    record: Pick<Extract<CellRecord, { kind: 'start' }>, 'task' | 'run' | 'worker'>,
    isEffective: boolean,
    isCopy = false,
  ): void {
    const proposal = this.context.proposals.takeStart(record.task);
    if (!isEffective) return;
    const taskEntry = this.context.state.findTask(record.task);
    const ref = taskName.parse(record.task);
    const step = ref && taskEntry?.progress.job.steps[ref.step];
    if (taskEntry === undefined || step === undefined) return;
    const nowMs = this.context.clock.monotonicMs();
    const checkpoint = step.gang
      ? gangCheckpoint.find(taskEntry.stepProgress, record.run)
      : taskEntry.task.checkpoint;
    const copy = isCopy ? this.context.state.copies.running.get(record.task) : undefined;
    const trackedRun: TrackedRun = {
      task: record.task,
      run: record.run,
      worker: record.worker,
      isCopy,
      born: copy?.born ?? taskEntry.task.born,
      demand: proposal?.demand ?? computeDemand(step),
      team: taskEntry.progress.job.team,
      charge: computeCharge(step),
      kind: findTaskKind(step),
      image: step.image,
      imagesAtStart: this.context.runs.listImagesOn(record.worker),
      mayHaveCopy: mayHaveCopies(step),
      isLongRunning: step.longRunning,
      phase: 'sending',
      trackedSinceMs: nowMs,
      startSettledAtMs: nowMs,
      estimateMs: step.estimateMs,
      isStalled: false,
      percent: 0,
      lastProgressAtMs: nowMs,
      startCheckpoint: checkpoint,
      checkpoint,
      load: 0,
      pacedPercent: 100,
      pacedAtMs: nowMs,
      // A run that resumes from a checkpoint does only a part of the work that was estimated.
      isTimed: checkpoint === '',
      isSpeedRecorded: checkpoint !== '',
      stopSentAtMs: 0,
      stopConfirmedAtMs: 0,
    };
    this.context.runs.add(trackedRun);
    const session = this.context.sessions.get(record.worker);
    const obstacle = this.findObstacle(trackedRun, session, proposal?.decidedAt);
    if (obstacle !== undefined || session === undefined) {
      this.context.proposeRunEnd(trackedRun, RunEnd.lost, obstacle ?? 'worker-gone');
      return;
    }
    void this.sendStart(session, trackedRun, taskEntry.progress.job.payload);
  }

  /** Returns why a recorded start must not be sent any more; undefined when it may be sent. */
  private findObstacle(
    trackedRun: TrackedRun,
    session: WorkerSession | undefined,
    decidedAt: Instant | undefined,
  ): string | undefined {
    if (session?.isStartable() !== true) return 'worker-not-startable';
    if (session.entry.born !== trackedRun.born) return 'worker-born-anew';
    if (decidedAt === undefined) return 'decision-of-a-former-owner';
    if (decidedAt.ageMs() > limits.maxDecisionAgeMs) return 'decision-too-old';
    const taskEntry = this.context.state.findTask(trackedRun.task);
    if (taskEntry?.progress.job.queue.advice === undefined) return undefined;
    const stepKey = trackedRun.task.slice(0, trackedRun.task.lastIndexOf('.'));
    return this.context.adviceCache.findTicket(stepKey, trackedRun.worker) === undefined
      ? 'ticket-expired'
      : undefined;
  }

  /** Sends the start order, repeats it when no reply arrives, and handles the reply. */
  private async sendStart(
    session: WorkerSession,
    trackedRun: TrackedRun,
    payload: string,
  ): Promise<void> {
    const { clock } = this.context;
    const stepKey = trackedRun.task.slice(0, trackedRun.task.lastIndexOf('.'));
    let sentAt = Instant.create(clock);
    let reply = await this.sendOnce(session, trackedRun, payload, stepKey);
    // A repeated order is harmless, as the worker recognizes the run by its number.
    for (
      let repeats = 0;
      reply.kind === 'unknown' && repeats < limits.maxStartRepeats;
      repeats += 1
    ) {
      // If this process was paused while it waited, another one may have become the owner.
      if (sentAt.ageMs() > limits.maxDecisionAgeMs || !this.mayRepeat(session, trackedRun)) break;
      sentAt = Instant.create(clock);
      this.context.count('starts_repeated_total');
      const repeatReply = await this.sendOnce(session, trackedRun, payload, stepKey);
      // A refused repetition does not show whether the first order was executed.
      if (repeatReply.kind !== 'refused') reply = repeatReply;
      else break;
    }
    if (this.context.isStopped() || !this.context.runs.has(trackedRun)) return;
    trackedRun.startSettledAtMs = clock.monotonicMs();
    switch (reply.kind) {
      case 'started':
        this.context.begunJobs.confirmStart(taskName.jobOf(trackedRun.task));
        if (trackedRun.phase === 'sending') trackedRun.phase = 'running';
        return;
      case 'unknown':
        this.context.log('warn', 'start-not-answered', {
          task: trackedRun.task,
          run: trackedRun.run,
          worker: session.id,
          reason: reply.reason,
        });
        if (trackedRun.phase === 'sending') trackedRun.phase = 'unknown';
        trackedRun.isTimed = false;
        void session.poll();
        return;
      case 'gone':
        this.context.proposeRunEnd(trackedRun, RunEnd.lost, reply.reason);
        return;
      case 'refused':
        this.handleRefusal(session, trackedRun, reply.reason, stepKey);
    }
  }

  /** Sends the start order once; the result is `unknown` when no reply arrives in time. */
  private async sendOnce(
    session: WorkerSession,
    trackedRun: TrackedRun,
    payload: string,
    stepKey: string,
  ): Promise<StartReply> {
    const { clock, token, startWindow, loopDelayMs } = this.context;
    const sentAtMs = clock.monotonicMs();
    startWindow.recordSent();
    const reply = await session.client.start(
      {
        task: trackedRun.task,
        run: trackedRun.run,
        payload,
        leaseUntilMs: session.grantLease(),
        token,
        // A repeated order must not name a checkpoint that the run has made meanwhile.
        checkpoint: trackedRun.startCheckpoint,
        ticket: this.context.adviceCache.findTicket(stepKey, session.id) ?? '',
      },
      callTimeouts.startMs(loopDelayMs()),
    );
    startWindow.recordOutcome(clock.monotonicMs() - sentAtMs, reply.kind !== 'unknown');
    return reply;
  }

  /**
   * Returns false when the run has ended or is to be stopped, or when its worker gets no starts, for example
   * because it is unreachable.
   */
  private mayRepeat(session: WorkerSession, trackedRun: TrackedRun): boolean {
    const { isStopped, runs, state } = this.context;
    if (isStopped() || !runs.has(trackedRun) || trackedRun.stopSentAtMs > 0) return false;
    return isWanted(state, trackedRun) && session.isStartable();
  }

  /** Handles a start that the worker refused and will not execute later: the run ends as lost. */
  private handleRefusal(
    session: WorkerSession,
    trackedRun: TrackedRun,
    reason: string,
    stepKey: string,
  ): void {
    if (reason === 'fence') {
      this.context.onFenced();
      return;
    }
    if (reason === 'ticket') this.context.adviceCache.expireTicket(stepKey, session.id);
    if (reason === 'unhealthy')
      session.noStartsUntilMs = this.context.clock.monotonicMs() + limits.unhealthyPauseMs;
    this.context.proposeRunEnd(trackedRun, RunEnd.lost, `refused-${reason}`);
  }
}
