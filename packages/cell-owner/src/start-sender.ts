import { Instant } from '@acaciahoist/clock/instant';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { StartReply } from '@acaciahoist/cell-types/start-reply';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { sizeOf } from '@acaciahoist/cell-planner/size-of';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { callLimits } from './call-limits.js';
import { limits } from './limits.js';
import type { OwnerContext } from './owner-context.js';
import type { RunView } from './run-view.js';
import type { WorkerLink } from './worker-link.js';

/** Sends the starts that are recorded, and finds out what became of each. */
export class StartSender {
  static create(context: OwnerContext): StartSender {
    return new StartSender(context);
  }

  private constructor(private readonly context: OwnerContext) {}

  /** The record of a start came back from the log. */
  startRecorded(record: Extract<CellRecord, { kind: 'start' }>, effective: boolean): void {
    const proposal = this.context.proposals.takeStart(record.task);
    if (!effective) return;
    const found = this.context.state.taskOf(record.task);
    const ref = taskName.parse(record.task);
    const step = ref && found?.progress.job.steps[ref.step];
    if (found === undefined || step === undefined) return;
    const nowMs = this.context.clock.monotonicMs();
    const view: RunView = {
      task: record.task,
      run: record.run,
      worker: record.worker,
      born: found.task.born,
      size: proposal?.size ?? sizeOf(step),
      phase: 'sending',
      sinceMs: nowMs,
      settledMs: nowMs,
      estimateMs: step.estimateMs,
      percent: 0,
      percentAtMs: nowMs,
      checkpoint: found.task.checkpoint,
      load: 0,
      pacedPercent: 100,
      pacedMs: nowMs,
      // A run that resumes from a checkpoint does less than its estimate says.
      isMeasured: found.task.checkpoint !== '',
      stopSentMs: 0,
      stopConfirmedMs: 0,
    };
    this.context.runs.add(view);
    const link = this.context.links.get(record.worker);
    const refusal = this.findRefusal(view, link, proposal?.decided);
    if (refusal !== undefined || link === undefined) {
      this.context.proposeEnd(view, RunEnd.lost, refusal ?? 'worker-gone');
      return;
    }
    void this.sendStart(link, view, found.progress.job.payload);
  }

  /** Why a recorded start must not leave any more; undefined when it may. */
  private findRefusal(
    view: RunView,
    link: WorkerLink | undefined,
    decided: Instant | undefined,
  ): string | undefined {
    if (link?.isStartable() !== true) return 'worker-not-startable';
    if (link.entry.born !== view.born) return 'worker-born-anew';
    if (decided === undefined) return 'decision-of-a-former-owner';
    if (decided.ageMs() > limits.maxDecisionAgeMs) return 'decision-too-old';
    const found = this.context.state.taskOf(view.task);
    if (found?.progress.job.queue.advice === undefined) return undefined;
    const step = view.task.slice(0, view.task.lastIndexOf('.'));
    return this.context.book.ticket(step, view.worker) === undefined ? 'ticket-expired' : undefined;
  }

  private async sendStart(link: WorkerLink, view: RunView, payload: string): Promise<void> {
    const { clock } = this.context;
    const step = view.task.slice(0, view.task.lastIndexOf('.'));
    let sent = Instant.create(clock);
    let reply = await this.sendOnce(link, view, payload, step);
    // The same order again is harmless: the worker knows the run by its number.
    for (let repeats = 0; reply.kind === 'unknown' && repeats < limits.startRepeats; repeats += 1) {
      // A process that stood still while it waited may have been replaced meanwhile.
      if (sent.ageMs() > limits.maxDecisionAgeMs || !this.mayRepeat(link, view)) break;
      sent = Instant.create(clock);
      this.context.count('starts_repeated_total');
      const repeated = await this.sendOnce(link, view, payload, step);
      // Of a first order that was carried out, a refusal of the second one says nothing.
      if (repeated.kind !== 'refused') reply = repeated;
      else break;
    }
    if (this.context.isStopped() || this.context.runs.get(view.task) !== view) return;
    view.settledMs = clock.monotonicMs();
    switch (reply.kind) {
      case 'started':
        this.context.begun.confirm(taskName.jobOf(view.task));
        if (view.phase === 'sending') view.phase = 'running';
        return;
      case 'unknown':
        this.context.log('warn', 'start-not-answered', {
          task: view.task,
          run: view.run,
          worker: link.id,
          reason: reply.reason,
        });
        if (view.phase === 'sending') view.phase = 'unknown';
        void link.look();
        return;
      case 'gone':
        this.context.proposeEnd(view, RunEnd.lost, reply.reason);
        return;
      case 'refused':
        this.startRefused(link, view, reply.reason, step);
    }
  }

  private async sendOnce(
    link: WorkerLink,
    view: RunView,
    payload: string,
    step: string,
  ): Promise<StartReply> {
    const { clock, token, window, loopDelayMs } = this.context;
    const sentMs = clock.monotonicMs();
    window.sent();
    const reply = await link.client.start(
      {
        task: view.task,
        run: view.run,
        payload,
        leaseUntilMs: link.grantLease(),
        token,
        checkpoint: view.checkpoint,
        ticket: this.context.book.ticket(step, link.id) ?? '',
      },
      callLimits.startMs(loopDelayMs()),
    );
    window.settled(clock.monotonicMs() - sentMs, reply.kind !== 'unknown');
    return reply;
  }

  /** False when the run is over, to be stopped, or on a worker that does not answer at all. */
  private mayRepeat(link: WorkerLink, view: RunView): boolean {
    const { isStopped, runs, state } = this.context;
    if (isStopped() || runs.get(view.task) !== view || view.stopSentMs > 0) return false;
    const task = state.taskOf(view.task)?.task;
    return task?.phase === 'placed' && task.run === view.run && link.isStartable();
  }

  private startRefused(link: WorkerLink, view: RunView, reason: string, step: string): void {
    if (reason === 'fence') {
      this.context.onFenced();
      return;
    }
    if (reason === 'ticket') this.context.book.expire(step, link.id);
    if (reason === 'unhealthy')
      link.pausedUntilMs = this.context.clock.monotonicMs() + limits.unhealthyPauseMs;
    this.context.proposeEnd(view, RunEnd.lost, `refused-${reason}`);
  }
}
