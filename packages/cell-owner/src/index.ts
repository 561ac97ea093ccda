import type { Clock } from '@acaciahoist/clock';
import type { AdviceClient } from '@acaciahoist/cell-types/advice-client';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { EndedRun } from '@acaciahoist/cell-types/ended-run';
import type { HoldReply } from '@acaciahoist/cell-types/hold-reply';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { StopReply } from '@acaciahoist/cell-types/stop-reply';
import type { WorkerClient } from '@acaciahoist/cell-types/worker-client';
import type { WorkerEntry } from '@acaciahoist/cell-types/worker-entry';
import type { CellState } from '@acaciahoist/cell-state';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { planCell } from '@acaciahoist/cell-planner';
import { changeRoom } from '@acaciahoist/cell-planner/change-room';
import type { PlannedWorker } from '@acaciahoist/cell-planner/planned-worker';
import type { ReadyStep } from '@acaciahoist/cell-planner/ready-step';
import { sizeOf } from '@acaciahoist/cell-planner/size-of';
import type { EventLog } from '@acaciahoist/types/event-log';
import { AdviceBook } from './advice-book.js';
import { AdviceDesk } from './advice-desk.js';
import { expectedEnd } from './expected-end.js';
import { limits } from './limits.js';
import { listReadySteps } from './list-ready-steps.js';
import { Proposals } from './proposals.js';
import { RunTable } from './run-table.js';
import type { RunView } from './run-view.js';
import { WorkerHealth } from './worker-health.js';
import { WorkerLink } from './worker-link.js';

interface Options {
  clock: Clock;
  log: EventLog;
  count: (name: string, by?: number) => void;
  state: CellState;
  token: number;
  /** Appends records under the owner's epoch; they come back through `observe`. */
  append: (records: CellRecord[]) => void;
  /** Age in ms of the newest acknowledged append. */
  storeSilentMs: () => number;
  connect: (entry: WorkerEntry) => WorkerClient;
  advise: AdviceClient;
  /** A worker has seen a higher token. */
  onFenced: () => void;
}

/**
 * Runs the work of the cell while this process is the owner. Every decision is recorded in the cell log
 * before it is carried out and carried out when it comes back, so that a successor knows of it and all
 * records before it, such as a cancel, are taken into account.
 */
export class CellOwner {
  static create(options: Options): CellOwner {
    return new CellOwner(options);
  }

  private readonly links = new Map<string, WorkerLink>();
  private readonly runs: RunTable;
  private readonly proposals = Proposals.create();
  private readonly book: AdviceBook;
  private readonly desk: AdviceDesk;
  private readonly health: WorkerHealth;
  /** Workers of former lives or owners that no entry names, with the time at which their leases end. */
  private readonly leaseEnds = new Map<string, number>();
  /** Time of the newest list of runs by worker. */
  private readonly heldMs = new Map<string, number>();
  private readonly ownedSinceMs: number;
  private isStopped = false;
  private isPlanDue = false;
  private plannedMs = Number.NEGATIVE_INFINITY;
  private cancelTimers: (() => void)[] = [];

  private constructor(private readonly options: Options) {
    const { clock, state } = options;
    this.ownedSinceMs = clock.monotonicMs();
    this.runs = RunTable.create(state, this.ownedSinceMs);
    this.book = AdviceBook.create(clock);
    this.desk = AdviceDesk.create({ clock, own: options.advise });
    this.health = WorkerHealth.create(clock);
  }

  start(): void {
    this.every(limits.planTickMs, () => {
      this.concludeLostRuns();
      this.plan();
    });
  }

  stop(): void {
    this.isStopped = true;
    for (const cancel of this.cancelTimers) cancel();
    for (const link of this.links.values()) link.stop();
    this.links.clear();
  }

  /** Another process offers to call the advice service. */
  helperSeen(name: string, ask: AdviceClient): void {
    this.desk.seen(name, ask);
  }

  /** Takes an entry of a worker, new or changed. */
  workerSeen(entry: WorkerEntry): void {
    const known = this.links.get(entry.id);
    if (known !== undefined && known.entry.born > entry.born) return;
    if (known !== undefined && known.entry.born < entry.born) this.endLife(known, 'born anew');
    const link = this.links.get(entry.id);
    if (link === undefined) {
      this.connect(entry);
      return;
    }
    if (link.entry.draining !== entry.draining)
      this.options.log('info', 'worker-draining', { worker: entry.id, draining: entry.draining });
    link.entry = { ...entry, address: link.entry.address };
    link.missingSinceMs = 0;
  }

  /** Takes the ids of all entries that are present. */
  workersPresent(present: ReadonlySet<string>): void {
    for (const link of this.links.values()) {
      if (!present.has(link.id)) this.workerMissing(link.id);
    }
  }

  /** The entry of a worker was removed. */
  workerMissing(id: string): void {
    const link = this.links.get(id);
    if (link === undefined || link.missingSinceMs > 0) return;
    link.missingSinceMs = this.options.clock.monotonicMs();
    this.options.log('info', 'worker-entry-missing', {
      worker: id,
      silentMs: Math.round(link.silentMs()),
    });
  }

  /** To be called for every record of the cell log, after it was applied. */
  observe(record: CellRecord, effective: boolean): void {
    if (this.isStopped) return;
    switch (record.kind) {
      case 'start':
        this.startRecorded(record, effective);
        break;
      case 'end':
        this.endRecorded(record);
        break;
      case 'cancel':
        if (effective) this.jobEnded(record.id);
        break;
      default:
        break;
    }
    if (record.kind !== 'renew') this.requestPlan();
  }

  describe(): Record<string, unknown> {
    return {
      token: this.options.token,
      workers: [...this.links.values()].map((link) => ({
        id: link.id,
        startable: link.isStartable(),
        reachable: link.isReachable,
        draining: link.entry.draining,
        runs: this.runs.countOn(link.id),
        silentMs: Math.round(link.silentMs()),
      })),
      adviceLanes: this.desk.size(),
    };
  }

  // --- workers -----------------------------------------------------------------------------------

  private connect(entry: WorkerEntry): void {
    const { clock, log, token, storeSilentMs } = this.options;
    const link = WorkerLink.create({
      clock,
      entry,
      client: this.options.connect(entry),
      token,
      mayExtend: () => storeSilentMs() < limits.extendWithoutStoreMs,
      onHeld: (from, reply, sentMs) => {
        this.held(from, reply, sentMs);
      },
      onFenced: () => {
        this.options.onFenced();
      },
      onGone: (from, reason) => {
        this.endLife(from, reason);
      },
      onReachable: (from, reachable, reason) => {
        log(reachable ? 'info' : 'warn', reachable ? 'worker-regained' : 'worker-lost', {
          worker: from.id,
          reason,
          runs: this.runs.countOn(from.id),
        });
      },
    });
    this.links.set(entry.id, link);
    this.leaseEnds.delete(entry.id);
    log('info', 'worker-found', { worker: entry.id, address: entry.address, born: entry.born });
    void link.run();
  }

  /** A life of a worker is proven over: nothing runs there any more. */
  private endLife(link: WorkerLink, reason: string): void {
    if (this.links.get(link.id) !== link) return;
    this.options.log('warn', 'worker-gone', {
      worker: link.id,
      reason,
      runs: this.runs.countOn(link.id),
    });
    link.stop();
    this.links.delete(link.id);
    this.book.forgetWorker(link.id);
    this.health.forgetWorker(link.id);
    for (const view of [...this.runs.on(link.id)])
      this.proposeEnd(view, RunEnd.lost, 'worker-gone');
  }

  private held(
    link: WorkerLink,
    reply: Extract<HoldReply, { kind: 'held' }>,
    sentMs: number,
  ): void {
    if (this.isStopped) return;
    const nowMs = this.options.clock.monotonicMs();
    const unseenMs = nowMs - (this.heldMs.get(link.id) ?? nowMs);
    this.heldMs.set(link.id, nowMs);
    const listed = new Set<string>();
    for (const ended of reply.ended) {
      listed.add(ended.task);
      if (ended.number > link.seenEnd) this.runEnded(link, ended);
    }
    for (const row of reply.running) {
      const view = this.runs.get(row.task);
      const isKnown = view?.worker === link.id && view.run === row.run;
      if (!isKnown) {
        this.stopStray(link, row.task, row.run);
        continue;
      }
      listed.add(row.task);
      if (view.phase !== 'running') {
        view.phase = 'running';
        view.settledMs = nowMs;
      }
      // What the worker did while it did not answer says nothing about its speed.
      if (row.percent !== view.percent || unseenMs > limits.silentWorkerMs) {
        view.percent = row.percent;
        view.percentAtMs = nowMs;
      }
      if (row.checkpoint !== '') view.checkpoint = row.checkpoint;
      if (!this.isWanted(view)) this.sendStop(link, view);
      else this.checkProgress(link, view, nowMs);
    }
    for (const view of [...this.runs.on(link.id)]) {
      if (!listed.has(view.task)) this.runMissing(link, view, sentMs);
    }
    this.acknowledgeEnds(link);
    this.requestPlan();
  }

  private runEnded(link: WorkerLink, ended: EndedRun): void {
    link.seenEnd = Math.max(link.seenEnd, ended.number);
    const view = this.runs.get(ended.task);
    if (view?.run !== ended.run || view.worker !== link.id) return;
    this.judgeEnd(view, ended.how);
    if (ended.checkpoint !== '') view.checkpoint = ended.checkpoint;
    this.proposeEnd(view, ended.how, 'reported');
  }

  private judgeEnd(view: RunView, how: RunEnd): void {
    const found = this.options.state.taskOf(view.task);
    if (found === undefined || view.estimateMs === 0) return;
    const nowMs = this.options.clock.monotonicMs();
    const queue = found.progress.job.queue.name;
    let isOut = false;
    if (how === RunEnd.failed) isOut = this.health.failed(view.worker, view.task.slice(0, 16));
    else if (how === RunEnd.done && !view.isMeasured)
      isOut = this.health.succeeded(view.worker, queue, (nowMs - view.sinceMs) / view.estimateMs);
    if (isOut) this.noteOut(view.worker);
  }

  /** Judges a run by its progress; stops one that stands still. */
  private checkProgress(link: WorkerLink, view: RunView, nowMs: number): void {
    const found = this.options.state.taskOf(view.task);
    const ref = taskName.parse(view.task);
    const step = ref && found?.progress.job.steps[ref.step];
    if (found === undefined || step === undefined || step.longRunning) return;
    if (!view.isMeasured && view.percent >= limits.measurablePercent && view.estimateMs > 0) {
      const totalMs = ((view.percentAtMs - view.sinceMs) * 100) / view.percent;
      if (this.health.isSlow(found.progress.job.queue.name, totalMs / view.estimateMs)) {
        view.isMeasured = true;
        if (this.health.slowed(view.worker)) this.noteOut(view.worker);
      }
    }
    const stallMs = step.gang ? limits.gangStallMs : limits.stallMs;
    if (view.percent >= 100 || nowMs - view.percentAtMs < stallMs) return;
    if (!step.gang && this.health.stalled(view.worker)) this.noteOut(view.worker);
    this.sendStop(link, view);
  }

  private noteOut(worker: string): void {
    this.options.count('workers_out_total');
    this.options.log('warn', 'worker-out', { worker, reason: this.health.reasonOf(worker) });
  }

  /** Ends count as taken note of only when all of them are recorded. */
  private acknowledgeEnds(link: WorkerLink): void {
    for (const view of this.runs.on(link.id))
      if (this.proposals.hasEnd(view.task, view.run)) return;
    link.acknowledgedEnd = link.seenEnd;
  }

  /** A recorded run that the worker lists neither as running nor as ended. */
  private runMissing(link: WorkerLink, view: RunView, sentMs: number): void {
    if (view.phase === 'sending' || sentMs < view.settledMs) return;
    if (this.proposals.hasEnd(view.task, view.run)) return;
    if (view.phase === 'unknown') {
      const isStopped = view.stopConfirmedMs > 0 && sentMs > view.stopConfirmedMs;
      if (isStopped) this.proposeEnd(view, RunEnd.lost, 'start-not-carried-out');
      else if (view.stopConfirmedMs === 0) this.sendStop(link, view);
      return;
    }
    // A worker that has seen this owner's token refuses the starts of former owners.
    const reason = view.phase === 'inherited' ? 'start-not-carried-out' : 'not-listed';
    this.proposeEnd(view, RunEnd.lost, reason);
  }

  private isWanted(view: RunView): boolean {
    const found = this.options.state.taskOf(view.task);
    return found?.task.phase === 'placed' && found.task.run === view.run;
  }

  private sendStop(link: WorkerLink, view: RunView): void {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - view.stopSentMs < limits.stopRepeatMs) return;
    view.stopSentMs = nowMs;
    void link.client.stop(view.task, view.run, this.options.token).then((reply) => {
      if (reply === StopReply.confirmed) {
        view.stopConfirmedMs = this.options.clock.monotonicMs();
        if (view.phase === 'unknown') void link.look();
      }
      if (reply === StopReply.fenced) this.options.onFenced();
    });
  }

  /** Stops what runs without a record, such as a start that was carried out late. */
  private stopStray(link: WorkerLink, task: string, run: number): void {
    this.options.log('warn', 'stray-run-stopped', { worker: link.id, task, run });
    this.options.count('stray_runs_total');
    void link.client.stop(task, run, this.options.token);
  }

  /** Gives up runs on workers out of reach once all leases there are over. */
  private concludeLostRuns(): void {
    const nowMs = this.options.clock.monotonicMs();
    const formerMs =
      this.ownedSinceMs +
      (limits.extendWithoutStoreMs + limits.leaseMs) / (1 - limits.clockDrift) +
      limits.clockMarginMs;
    for (const view of [...this.runs.all()]) {
      const link = this.links.get(view.worker);
      if (link?.isReachable) continue;
      const overMs = Math.max(
        link?.isFenced ? 0 : formerMs,
        link?.leaseOverMs ?? this.leaseEnds.get(view.worker) ?? formerMs,
      );
      if (nowMs > overMs) this.proposeEnd(view, RunEnd.lost, 'lease-over');
    }
  }

  // --- records -----------------------------------------------------------------------------------

  private proposeEnd(view: RunView, how: RunEnd, reason: string): void {
    if (!this.proposals.addEnd(view.task, view.run)) return;
    this.options.count(`runs_ended_${how}_total`);
    if (how !== RunEnd.done)
      this.options.log('info', 'run-ended', {
        task: view.task,
        run: view.run,
        worker: view.worker,
        how,
        reason,
      });
    const { task, run, checkpoint } = view;
    this.options.append([{ kind: 'end', task, run, how, saved: checkpoint }]);
  }

  private endRecorded(record: Extract<CellRecord, { kind: 'end' }>): void {
    this.proposals.takeEnd(record.task);
    const view = this.runs.get(record.task);
    if (view?.run !== record.run) return;
    this.runs.remove(record.task);
    const link = this.links.get(view.worker);
    if (link !== undefined) this.acknowledgeEnds(link);
    const ref = taskName.parse(record.task);
    if (ref === undefined) return;
    const ended = this.options.state.ended.get(ref.job);
    if (ended !== undefined) this.jobEnded(ref.job);
    else if (record.how !== RunEnd.done) this.stopGang(record.task, record.run);
  }

  private jobEnded(id: string): void {
    const ended = this.options.state.ended.get(id);
    if (ended === undefined) return;
    this.book.forgetJob(id);
    this.health.forgetJob(id);
    this.options.log('info', 'job-ended', { job: id, outcome: ended.outcome });
    this.options.count(`jobs_${ended.outcome}_total`);
    for (const task of ended.leftovers.keys()) {
      const view = this.runs.get(task);
      const link = view && this.links.get(view.worker);
      if (view !== undefined && link !== undefined) this.sendStop(link, view);
    }
  }

  /** The rest of a gang cannot go on without a member: stops it at once instead of letting it wait. */
  private stopGang(task: string, run: number): void {
    const found = this.options.state.taskOf(task);
    const ref = taskName.parse(task);
    if (found === undefined || ref === undefined) return;
    if (found.progress.job.steps[ref.step]?.gang !== true) return;
    found.step.tasks.forEach((member, index) => {
      if (member.phase !== 'placed' || member.run !== run) return;
      const view = this.runs.get(taskName.format({ ...ref, index }));
      const link = view && this.links.get(view.worker);
      if (view !== undefined && link !== undefined) this.sendStop(link, view);
    });
  }

  private startRecorded(record: Extract<CellRecord, { kind: 'start' }>, effective: boolean): void {
    const proposal = this.proposals.takeStart(record.task);
    if (!effective) return;
    const found = this.options.state.taskOf(record.task);
    const ref = taskName.parse(record.task);
    const step = ref && found?.progress.job.steps[ref.step];
    if (found === undefined || step === undefined) return;
    const nowMs = this.options.clock.monotonicMs();
    const view: RunView = {
      task: record.task,
      run: record.run,
      worker: record.worker,
      size: proposal?.size ?? sizeOf(step),
      phase: 'sending',
      sinceMs: nowMs,
      settledMs: nowMs,
      estimateMs: step.estimateMs,
      percent: 0,
      percentAtMs: nowMs,
      checkpoint: found.task.checkpoint,
      // A run that resumes from a checkpoint does less than its estimate says.
      isMeasured: found.task.checkpoint !== '',
      stopSentMs: 0,
      stopConfirmedMs: 0,
    };
    this.runs.add(view);
    const link = this.links.get(record.worker);
    const refusal = this.findRefusal(view, link, proposal?.decidedMs);
    if (refusal !== undefined || link === undefined) {
      this.proposeEnd(view, RunEnd.lost, refusal ?? 'worker-gone');
      return;
    }
    void this.sendStart(link, view, found.progress.job.payload);
  }

  /** Why a recorded start must not leave any more; undefined when it may. */
  private findRefusal(
    view: RunView,
    link: WorkerLink | undefined,
    decidedMs: number | undefined,
  ): string | undefined {
    if (link?.isStartable() !== true) return 'worker-not-startable';
    if (decidedMs === undefined) return 'decision-of-a-former-owner';
    if (view.sinceMs - decidedMs > limits.maxDecisionAgeMs) return 'decision-too-old';
    const found = this.options.state.taskOf(view.task);
    if (found?.progress.job.queue.advice === undefined) return undefined;
    const step = view.task.slice(0, view.task.lastIndexOf('.'));
    return this.book.ticket(step, view.worker) === undefined ? 'ticket-expired' : undefined;
  }

  private async sendStart(link: WorkerLink, view: RunView, payload: string): Promise<void> {
    const { clock, token } = this.options;
    const step = view.task.slice(0, view.task.lastIndexOf('.'));
    const reply = await link.client.start({
      task: view.task,
      run: view.run,
      payload,
      leaseUntilMs: link.grantLease(),
      token,
      checkpoint: view.checkpoint,
      ticket: this.book.ticket(step, link.id) ?? '',
    });
    if (this.isStopped || this.runs.get(view.task) !== view) return;
    view.settledMs = clock.monotonicMs();
    switch (reply.kind) {
      case 'started':
        if (view.phase === 'sending') view.phase = 'running';
        return;
      case 'unknown':
        this.options.log('warn', 'start-not-answered', {
          task: view.task,
          run: view.run,
          worker: link.id,
          reason: reply.reason,
        });
        if (view.phase === 'sending') view.phase = 'unknown';
        void link.look();
        return;
      case 'gone':
        this.proposeEnd(view, RunEnd.lost, reply.reason);
        return;
      case 'refused':
        this.startRefused(link, view, reply.reason, step);
    }
  }

  private startRefused(link: WorkerLink, view: RunView, reason: string, step: string): void {
    if (reason === 'fence') {
      this.options.onFenced();
      return;
    }
    if (reason === 'ticket') this.book.expire(step, link.id);
    if (reason === 'unhealthy')
      link.pausedUntilMs = this.options.clock.monotonicMs() + limits.unhealthyPauseMs;
    this.proposeEnd(view, RunEnd.lost, `refused-${reason}`);
  }

  // --- planning ----------------------------------------------------------------------------------

  private requestPlan(): void {
    if (this.isPlanDue || this.isStopped) return;
    this.isPlanDue = true;
    const { clock } = this.options;
    const delayMs = Math.max(0, this.plannedMs + limits.planGapMs - clock.monotonicMs());
    clock.after(delayMs, () => {
      this.isPlanDue = false;
      this.plan();
    });
  }

  private plan(): void {
    if (this.isStopped) return;
    const { clock, state } = this.options;
    const nowMs = clock.monotonicMs();
    this.plannedMs = nowMs;
    // Decisions made while the log does not take them would be stale when it does.
    if (this.proposals.oldestMs(nowMs) > limits.staleProposalMs) return;
    const steps = listReadySteps({
      state,
      wallMs: clock.wallMs(),
      nowMs,
      proposedWorker: (task) => this.proposals.workerOf(task),
      adviceFor: (step) => this.book.get(step),
    });
    if (steps.length === 0) return;
    const plan = planCell(steps, this.listWorkers(nowMs), nowMs);
    const byKey = new Map(steps.map((step) => [step.key, step]));
    this.recordStarts(plan.starts, byKey, nowMs);
    for (const ask of plan.asks) {
      const step = byKey.get(ask.key);
      if (step !== undefined) this.ask(step, ask.workers);
    }
  }

  private listWorkers(nowMs: number): PlannedWorker[] {
    const workers = new Map<string, PlannedWorker>();
    for (const link of this.links.values()) {
      const { entry } = link;
      const total = {
        millicores: entry.millicores,
        memoryMib: entry.memoryMib,
        accelerators: entry.accelerators,
      };
      const free = { ...total };
      const runs: { endsInMs: number; size: RunView['size'] }[] = [];
      for (const view of this.runs.on(link.id)) {
        changeRoom(free, view.size, -1);
        runs.push({ endsInMs: expectedEnd(view, nowMs), size: view.size });
      }
      workers.set(link.id, {
        id: link.id,
        service: entry.service,
        rack: entry.rack,
        labels: entry.labels,
        total,
        free,
        runs,
        startable: link.isStartable() && this.isFit(link),
        probation: this.health.fitness(link.id) === 'probation',
      });
    }
    for (const start of this.proposals.allStarts()) {
      const worker = workers.get(start.worker);
      if (worker !== undefined) changeRoom(worker.free, start.size, -1);
    }
    return [...workers.values()];
  }

  private isFit(link: WorkerLink): boolean {
    const fitness = this.health.fitness(link.id);
    if (fitness !== 'probation') return fitness === 'full';
    return this.runs.countOn(link.id) === 0;
  }

  private recordStarts(
    starts: readonly { key: string; index: number; worker: string }[],
    steps: ReadonlyMap<string, ReadyStep>,
    nowMs: number,
  ): void {
    if (starts.length === 0) return;
    const records: CellRecord[] = [];
    const perStep = new Map<string, string[]>();
    for (const { key, index, worker } of starts) {
      const step = steps.get(key);
      const task = `${key}.${index}`;
      const found = this.options.state.taskOf(task);
      if (step === undefined || found === undefined) continue;
      const highest = found.step.tasks.reduce((most, member) => Math.max(most, member.run), 0);
      const run = (step.step.gang ? highest : found.task.run) + 1;
      const size = sizeOf(step.step);
      this.proposals.addStart(task, { worker, run, size, decidedMs: nowMs });
      records.push({ kind: 'start', task, run, worker });
      perStep.set(key, [...(perStep.get(key) ?? []), worker]);
    }
    for (const [key, workers] of perStep)
      this.options.log('info', 'start-decided', {
        step: key,
        queue: steps.get(key)?.queue.name,
        priority: steps.get(key)?.queue.priority,
        tasks: workers.length,
        worker: workers[0],
        waitedMs: Math.round(nowMs - (steps.get(key)?.sinceMs ?? nowMs)),
      });
    this.options.count('starts_total', records.length);
    this.options.append(records);
  }

  private ask(step: ReadyStep, workers: readonly string[]): void {
    const { advice } = step.queue;
    if (advice === undefined) return;
    const expectedMs = advice.decisionMs + advice.perWorkerMs * workers.length;
    const isPrompt = step.queue.priority === 0;
    const asked = this.desk.tryAsk(step.key, workers, isPrompt, expectedMs * 2 + 500);
    if (asked === undefined) return;
    this.book.markAsked(step.key, true);
    void asked.then((answer) => {
      if (this.isStopped) return;
      if (this.options.state.jobs.has(step.key.slice(0, 16))) {
        this.book.markAsked(step.key, false);
        if (answer.kind === 'allowed')
          this.book.record(step.key, workers, answer.tickets, advice.ticketMs);
        else this.options.log('warn', 'advice-not-given', { step: step.key, result: answer.kind });
      }
      this.requestPlan();
    });
  }

  private every(intervalMs: number, run: () => void): void {
    const index = this.cancelTimers.length;
    const schedule = (): void => {
      this.cancelTimers[index] = this.options.clock.after(intervalMs, () => {
        run();
        if (!this.isStopped) schedule();
      });
    };
    schedule();
  }
}
