import { Instant } from '@acaciahoist/clock/instant';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { StartReply } from '@acaciahoist/cell-types/start-reply';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { computeDemand } from '@acaciahoist/cell-planner/compute-demand';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { callTimeouts } from './call-timeouts.js';
import { limits } from './limits.js';
import type { OwnerContext } from './owner-context.js';
import type { RunView } from './run-view.js';
import type { WorkerSession } from './worker-session.js';

/** Sends the starts that are recorded, and determines what became of each. */
export class StartSender {
  static create(context: OwnerContext): StartSender {
    return new StartSender(context);
  }

  private constructor(private readonly context: OwnerContext) {}

  /** Handles the record of a start that was applied; an effective one is sent. */
  handleStartRecord(record: Extract<CellRecord, { kind: 'start' }>, effective: boolean): void {
    const proposal = this.context.proposals.takeStart(record.task);
    if (!effective) return;
    const taskEntry = this.context.state.findTask(record.task);
    const ref = taskName.parse(record.task);
    const step = ref && taskEntry?.progress.job.steps[ref.step];
    if (taskEntry === undefined || step === undefined) return;
    const nowMs = this.context.clock.monotonicMs();
    const view: RunView = {
      task: record.task,
      run: record.run,
      worker: record.worker,
      born: taskEntry.task.born,
      demand: proposal?.demand ?? computeDemand(step),
      phase: 'sending',
      knownSinceMs: nowMs,
      startSettledMs: nowMs,
      estimateMs: step.estimateMs,
      percent: 0,
      percentAtMs: nowMs,
      checkpoint: taskEntry.task.checkpoint,
      load: 0,
      pacedPercent: 100,
      pacedMs: nowMs,
      // The estimate does not hold for a run that resumes from a checkpoint with only a part of the work.
      isSpeedRecorded: taskEntry.task.checkpoint !== '',
      stopSentMs: 0,
      stopConfirmedMs: 0,
    };
    this.context.runs.add(view);
    const session = this.context.sessions.get(record.worker);
    const obstacle = this.findObstacle(view, session, proposal?.decidedAt);
    if (obstacle !== undefined || session === undefined) {
      this.context.proposeRunEnd(view, RunEnd.lost, obstacle ?? 'worker-gone');
      return;
    }
    void this.sendStart(session, view, taskEntry.progress.job.payload);
  }

  /** Returns why a recorded start must not be sent any more; undefined when it may be sent. */
  private findObstacle(
    view: RunView,
    session: WorkerSession | undefined,
    decidedAt: Instant | undefined,
  ): string | undefined {
    if (session?.isStartable() !== true) return 'worker-not-startable';
    if (session.entry.born !== view.born) return 'worker-born-anew';
    if (decidedAt === undefined) return 'decision-of-a-former-owner';
    if (decidedAt.ageMs() > limits.maxDecisionAgeMs) return 'decision-too-old';
    const taskEntry = this.context.state.findTask(view.task);
    if (taskEntry?.progress.job.queue.advice === undefined) return undefined;
    const step = view.task.slice(0, view.task.lastIndexOf('.'));
    return this.context.adviceCache.findTicket(step, view.worker) === undefined
      ? 'ticket-expired'
      : undefined;
  }

  private async sendStart(session: WorkerSession, view: RunView, payload: string): Promise<void> {
    const { clock } = this.context;
    const step = view.task.slice(0, view.task.lastIndexOf('.'));
    let sentAt = Instant.create(clock);
    let reply = await this.sendOnce(session, view, payload, step);
    // A repeated order is harmless: the worker recognises the run by its number.
    for (let repeats = 0; reply.kind === 'unknown' && repeats < limits.startRepeats; repeats += 1) {
      // A process that was paused while it waited may have been replaced meanwhile.
      if (sentAt.ageMs() > limits.maxDecisionAgeMs || !this.mayRepeat(session, view)) break;
      sentAt = Instant.create(clock);
      this.context.count('starts_repeated_total');
      const repeatReply = await this.sendOnce(session, view, payload, step);
      // A refused repetition does not show whether the first order was carried out.
      if (repeatReply.kind !== 'refused') reply = repeatReply;
      else break;
    }
    if (this.context.isStopped() || this.context.runs.get(view.task) !== view) return;
    view.startSettledMs = clock.monotonicMs();
    switch (reply.kind) {
      case 'started':
        this.context.begunJobs.confirmStart(taskName.jobOf(view.task));
        if (view.phase === 'sending') view.phase = 'running';
        return;
      case 'unknown':
        this.context.log('warn', 'start-not-answered', {
          task: view.task,
          run: view.run,
          worker: session.id,
          reason: reply.reason,
        });
        if (view.phase === 'sending') view.phase = 'unknown';
        void session.poll();
        return;
      case 'gone':
        this.context.proposeRunEnd(view, RunEnd.lost, reply.reason);
        return;
      case 'refused':
        this.handleRefusal(session, view, reply.reason, step);
    }
  }

  /** Sends the start order once; the result is `unknown` when no answer arrives in time. */
  private async sendOnce(
    session: WorkerSession,
    view: RunView,
    payload: string,
    step: string,
  ): Promise<StartReply> {
    const { clock, token, startWindow, loopDelayMs } = this.context;
    const sentMs = clock.monotonicMs();
    startWindow.recordSent();
    const reply = await session.client.start(
      {
        task: view.task,
        run: view.run,
        payload,
        leaseUntilMs: session.grantLease(),
        token,
        checkpoint: view.checkpoint,
        ticket: this.context.adviceCache.findTicket(step, session.id) ?? '',
      },
      callTimeouts.startMs(loopDelayMs()),
    );
    startWindow.recordOutcome(clock.monotonicMs() - sentMs, reply.kind !== 'unknown');
    return reply;
  }

  /**
   * False when the run is over or to be stopped, or when its worker gets no starts, such as an
   * unreachable one.
   */
  private mayRepeat(session: WorkerSession, view: RunView): boolean {
    const { isStopped, runs, state } = this.context;
    if (isStopped() || runs.get(view.task) !== view || view.stopSentMs > 0) return false;
    const task = state.findTask(view.task)?.task;
    return task?.phase === 'placed' && task.run === view.run && session.isStartable();
  }

  private handleRefusal(session: WorkerSession, view: RunView, reason: string, step: string): void {
    if (reason === 'fence') {
      this.context.onFenced();
      return;
    }
    if (reason === 'ticket') this.context.adviceCache.expireTicket(step, session.id);
    if (reason === 'unhealthy')
      session.noStartsUntilMs = this.context.clock.monotonicMs() + limits.unhealthyPauseMs;
    this.context.proposeRunEnd(view, RunEnd.lost, `refused-${reason}`);
  }
}
