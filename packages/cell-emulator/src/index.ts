import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { PausableClock } from '@acaciahoist/clock/pausable-clock';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { CellJob } from '@acaciahoist/cell-types';
import type { CellStep } from '@acaciahoist/cell-types/cell-step';
import type { AdviceClient } from '@acaciahoist/cell-types/advice-client';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { HoldReply } from '@acaciahoist/cell-types/hold-reply';
import { PaceReply } from '@acaciahoist/cell-types/pace-reply';
import type { StartReply } from '@acaciahoist/cell-types/start-reply';
import { StopReply } from '@acaciahoist/cell-types/stop-reply';
import type { WorkerEntry } from '@acaciahoist/cell-types/worker-entry';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { CellProcess } from '@acaciahoist/cell-process';
import { EmulatedGangs } from './emulated-gangs.js';
import { EmulatedPeers } from './emulated-peers.js';
import { EmulatedStore } from './emulated-store.js';
import { EmulatedWorker } from './emulated-worker.js';
import { findViolations } from './find-violations.js';
import type { HistoryEvent } from './history-event.js';
import { Random } from '@acaciahoist/random';

/** A worker of the emulated cell has this room. */
const WORKER_MILLICORES = 8_000;
const WORKER_MEMORY_MIB = 16_384;
const ADVICE_DELAY_MS = 20;
/** Share of the workers that the advice service allows for a step. */
const ADVICE_ALLOWED_SHARE = 0.7;
/** Age in ms that a count of waiting jobs may have. */
const MAX_COUNT_AGE_MS = 2_000;
/** Number of data centres over which processes and workers are spread. */
const DATA_CENTRE_COUNT = 3;
/** Longest span of time in ms that passes without the code running in between. */
const CLOCK_STEP_MS = 2;

interface Options {
  seed: number;
  processes: number;
  workers: number;
  /** Cores of processes by name; 1 for those that are not named. */
  cores?: Readonly<Record<string, number>>;
  /** Time in ms that a call to a worker or an append takes of the processor, by process; none for those that are not named. */
  callCostMs?: Readonly<Record<string, number>>;
  /** Which processes hold a replica; all of them in a small cell. */
  replicas?: { smallCell: number; standbys: number };
}

/** One process; `clock` belongs to its newest life. */
interface EmulatedProcess {
  name: string;
  process: CellProcess;
  isUp: boolean;
  clock: PausableClock;
}

/** An order that a process gave to a worker, whether it arrived or not. */
interface SentOrder {
  atMs: number;
  process: string;
  kind: 'start' | 'stop';
  worker: string;
  token: number;
}

/** A whole cell on a manual clock: processes, store, workers and advice, with faults from a test. */
export class EmulatedCell {
  static create(options: Options): EmulatedCell {
    return new EmulatedCell(options);
  }

  readonly clock = ManualClock.create(1_700_000_000_000);
  readonly store: EmulatedStore;
  readonly random: Random;
  readonly history: HistoryEvent[] = [];
  readonly logLines: string[] = [];
  readonly jobs = new Map<string, CellJob>();
  readonly acceptedJobs = new Set<string>();
  /** Jobs whose cancelling a client has asked for, whatever became of it. */
  readonly cancelRequestedJobs = new Set<string>();
  readonly refusedJobs = new Set<string>();
  readonly cancelledMs = new Map<string, number>();
  readonly workers = new Map<string, EmulatedWorker>();
  readonly processes: EmulatedProcess[] = [];
  readonly orders: SentOrder[] = [];
  /** True while calls between this process and this worker are cut off. */
  isDisconnected: (process: string, worker: string) => boolean = () => false;
  readonly peers: EmulatedPeers;
  private readonly gangs: EmulatedGangs;
  /** Time at which a client was told that its job is accepted, by job. */
  private readonly acceptedMs = new Map<string, number>();
  /** The first count that was too low, by process. */
  private readonly lowPendingCounts = new Map<string, string>();
  private incarnationCount = 0;
  /** Time up to which the processor of a process is taken, by its name. */
  private readonly busyUntilMs = new Map<string, number>();

  private constructor(private readonly options: Options) {
    this.random = Random.create(options.seed);
    this.store = EmulatedStore.create(this.clock);
    this.gangs = EmulatedGangs.create(this.clock);
    this.peers = EmulatedPeers.create(this.clock, (name) => this.findProcess(name));
    this.writeConfiguration(1);
  }

  /** Writes a configuration down as the operator does. */
  writeConfiguration(version: number): void {
    const configuration = { version, queues: [], guarded: {}, maxBodyBytes: 100_000 };
    this.store.writeKey('keyed.op', 'config', Buffer.from(JSON.stringify(configuration)));
  }

  async start(): Promise<void> {
    for (let index = 0; index < this.options.workers; index += 1) this.addWorker(`w${index}`);
    for (let index = 0; index < this.options.processes; index += 1)
      await this.startProcess(`p${index}`);
  }

  /** Lets time pass. */
  async advance(ms: number): Promise<void> {
    const endMs = this.clock.monotonicMs() + ms;
    // What the caller has begun.
    await waitForDueWork();
    while (this.clock.monotonicMs() < endMs) {
      const fired = this.clock.advance(Math.min(CLOCK_STEP_MS, endMs - this.clock.monotonicMs()));
      if (fired > 0) await waitForDueWork();
    }
  }

  addWorker(id: string): EmulatedWorker {
    const entry: WorkerEntry = {
      id,
      born: this.clock.wallMs(),
      service: 'work',
      address: `${id}:1`,
      dataCentre: 'a',
      draining: false,
      leavesInMs: 0,
      millicores: WORKER_MILLICORES,
      memoryMib: WORKER_MEMORY_MIB,
      accelerators: 0,
      rack: `r${this.workers.size % 2}`,
      labels: ['a'],
    };
    const worker = EmulatedWorker.create({
      clock: this.clock,
      entry,
      getWork: (task, run) => this.getWork(task, run),
      getGangSize: (task) => this.getGangSize(task),
      gangs: this.gangs,
      isBestEffort: (task) => this.findStep(task)?.usesSpareCpu === true,
      recordEvent: (event) => this.history.push(event),
    });
    this.workers.set(id, worker);
    this.publishWorker(entry);
    return worker;
  }

  publishWorker(entry: WorkerEntry): void {
    this.store.writeKey('keyed.servers', entry.id, Buffer.from(JSON.stringify(entry)));
  }

  /** Removes the entry of a worker, as the platform does after silence. */
  removeWorkerEntry(id: string): void {
    this.store.writeKey('keyed.servers', id, undefined);
  }

  /** Starts a process, or starts it anew after `kill`. */
  async startProcess(name: string): Promise<void> {
    this.incarnationCount += 1;
    const life = `${name}#${this.incarnationCount}`;
    const clock = PausableClock.create(this.clock);
    const process = CellProcess.create({
      clock,
      log: (level, event, fields = {}) => {
        this.logLines.push(
          `${this.clock.monotonicMs()} ${life} ${level} ${event} ${JSON.stringify(fields)}`,
        );
      },
      count: () => undefined,
      observeLoopDelay: () => undefined,
      store: this.createStoreClient(name, clock),
      name,
      incarnation: String(this.incarnationCount),
      peerAddress: name,
      peers: this.peers.createClient(name, clock),
      topics: {
        cell: 'cell',
        snapshots: 'keyed.cell',
        hints: 'keyed.owner',
        configuration: 'keyed.op',
        workers: 'keyed.servers',
      },
      configurationKey: 'config',
      retentionMs: 120_000,
      ownerSilenceMs: 1_000,
      claimJitterMs: this.random.integer(0, 300 - 1),
      cores: this.options.cores?.[name] ?? 1,
      dataCentre: this.getDataCentre(name),
      replicas: this.options.replicas ?? { smallCell: 12, standbys: 4 },
      decodeConfiguration: (data) =>
        JSON.parse(Buffer.from(data).toString()) as ReturnType<
          Parameters<typeof CellProcess.create>[0]['decodeConfiguration']
        >,
      decodeWorkerEntry: (_id, data) => JSON.parse(Buffer.from(data).toString()) as WorkerEntry,
      connect: (entry) => this.connect(name, life, clock, entry),
      advise: (step, workers) => this.advise(clock, step, workers),
    });
    const known = this.findProcess(name);
    if (known !== undefined) Object.assign(known, { process, isUp: true, clock });
    else this.processes.push({ name, process, isUp: true, clock });
    await process.start();
  }

  /** The process dies: nothing of it goes on. */
  killProcess(name: string): void {
    const found = this.findProcess(name);
    if (found?.isUp !== true) return;
    found.isUp = false;
    found.process.abort();
  }

  /** The process stands still until `resume`, its steady clock goes on. */
  pause(name: string): void {
    this.findProcess(name)?.clock.pause();
  }

  /** The machine of the process is suspended until `resume`: its steady clock stands still too. */
  suspend(name: string): void {
    this.findProcess(name)?.clock.suspend();
  }

  /** Shifts the time of day of this life of a process. */
  jumpWall(name: string, byMs: number): void {
    this.findProcess(name)?.clock.jumpWall(byMs);
  }

  /** A process that stood still goes on: its overdue timers run, and it gets the answers that arrived. */
  async resume(name: string): Promise<void> {
    const found = this.findProcess(name);
    if (found?.clock.isStopped !== true) return;
    const { timers, arrivals } = found.clock.resume();
    const held = this.random.next() < 0.5 ? [...timers, ...arrivals] : [...arrivals, ...timers];
    for (const run of held) {
      run();
      await waitForDueWork();
    }
  }

  /** The owner; of two, one that runs. */
  findOwnerName(): string | undefined {
    const owners = this.processes.filter(({ process, isUp }) => isUp && process.isOwner());
    return (owners.find(({ clock }) => !clock.isStopped) ?? owners[0])?.name;
  }

  /** Data centre of a process or a worker, by its name. */
  getDataCentre(name: string): string {
    return `d${Number(name.slice(1)) % DATA_CENTRE_COUNT}`;
  }

  private findProcess(name: string): EmulatedProcess | undefined {
    return this.processes.find((candidate) => candidate.name === name);
  }

  /** Hands a job in at a process; remembers the answer. */
  async submit(job: CellJob, at: string): Promise<'accepted' | 'refused' | 'unknown'> {
    this.jobs.set(job.id, job);
    const target = this.processes.find((candidate) => candidate.name === at && candidate.isUp);
    if (target === undefined) return 'unknown';
    const { clock, process } = target;
    await clock.deliver(Promise.resolve());
    const result = await process.front.submit(job, 2_500);
    if (result.isOk) {
      this.acceptedJobs.add(job.id);
      if (!this.acceptedMs.has(job.id)) this.acceptedMs.set(job.id, this.clock.monotonicMs());
      this.refusedJobs.delete(job.id);
      return 'accepted';
    }
    if (result.error.kind !== ErrorKind.logUnavailable) {
      this.refusedJobs.delete(job.id);
      return 'unknown';
    }
    if (!this.acceptedJobs.has(job.id)) this.refusedJobs.add(job.id);
    return 'refused';
  }

  async cancel(id: string, at: string): Promise<boolean> {
    this.cancelRequestedJobs.add(id);
    const target = this.processes.find((candidate) => candidate.name === at && candidate.isUp);
    await target?.clock.deliver(Promise.resolve());
    const result = await target?.process.front.cancel(id, 2_500);
    if (result?.isOk !== true) return false;
    this.cancelledMs.set(id, this.clock.monotonicMs());
    return true;
  }

  /**
   * Asks each process how many jobs of the queue wait, and notes counts that are too low at the time of
   * the answer; an answer may need the clock to run.
   */
  checkPendingCounts(queue = 'q'): void {
    for (const { name, process, isUp, clock } of this.processes) {
      if (!isUp || clock.isStopped) continue;
      void process.front.pendingOf(queue).then((told) => {
        if (told === undefined || this.lowPendingCounts.has(name)) return;
        const waiting = this.countPendingJobs();
        if (told >= waiting) return;
        const nowMs = this.clock.monotonicMs();
        this.lowPendingCounts.set(
          name,
          `${name} tells ${told} of ${waiting} waiting jobs at ${nowMs} ms`,
        );
      });
    }
  }

  /** Jobs that were accepted before the age that a count may have, and of which no task has started. */
  private countPendingJobs(): number {
    const nowMs = this.clock.monotonicMs();
    const started = new Set(
      this.history.filter(({ kind }) => kind === 'started').map(({ task }) => taskName.jobOf(task)),
    );
    return [...this.acceptedMs].filter(
      ([id, acceptedMs]) =>
        acceptedMs <= nowMs - MAX_COUNT_AGE_MS &&
        !started.has(id) &&
        !this.cancelRequestedJobs.has(id),
    ).length;
  }

  listViolations(): string[] {
    const found = findViolations({
      history: this.history,
      jobs: this.jobs,
      workerMillicores: WORKER_MILLICORES,
      cancelledMs: this.cancelledMs,
      refusedJobs: this.refusedJobs,
    });
    return [...found, ...this.lowPendingCounts.values()];
  }

  /** Accepted jobs that a process does not show as ended. */
  listUnfinishedJobs(): string[] {
    const reader = this.processes.find(({ isUp, process }) => isUp && process.holdsReplica());
    return [...this.acceptedJobs].filter((id) => {
      const outcome = reader?.process.outcomeOf(id);
      return outcome === undefined || outcome === 'queued' || outcome === 'running';
    });
  }

  private getWork(task: string, run: number): { ms: number; how: RunEnd } {
    const ref = taskName.parse(task);
    const job = ref && this.jobs.get(ref.job);
    const ms = job?.steps[ref?.step ?? 0]?.estimateMs ?? 100;
    const fails =
      job?.payload.startsWith('fails') === true || (job?.payload === 'flaky' && run === 1);
    return { ms, how: fails ? RunEnd.failed : RunEnd.done };
  }

  private getGangSize(task: string): number {
    const step = this.findStep(task);
    return step?.gang === true ? step.count : 0;
  }

  private findStep(task: string): CellStep | undefined {
    const ref = taskName.parse(task);
    return ref && this.jobs.get(ref.job)?.steps[ref.step];
  }

  private connect(
    name: string,
    life: string,
    clock: PausableClock,
    entry: WorkerEntry,
  ): ReturnType<EmulatedWorker['createClient']> {
    const client = (): ReturnType<EmulatedWorker['createClient']> | undefined => {
      const worker = this.workers.get(entry.id);
      const isSame = worker?.entry.born === entry.born;
      return isSame && !this.isDisconnected(name, entry.id) ? worker.createClient(life) : undefined;
    };
    const call = async <Reply>(
      send: (worker: ReturnType<EmulatedWorker['createClient']>) => Promise<Reply>,
      unanswered: Reply,
      limitMs: number,
    ): Promise<Reply> => {
      await this.useProcessor(name, clock);
      const worker = client();
      const reply = worker && (await clock.deliver(send(worker)));
      // An answer is lost as well when the connection is cut before it arrives.
      if (reply !== undefined && !this.isDisconnected(name, entry.id)) return reply;
      await new Promise<void>((resolve) => clock.after(limitMs, resolve));
      return unanswered;
    };
    const note = (kind: SentOrder['kind'], token: number): void => {
      const atMs = this.clock.monotonicMs();
      this.orders.push({ atMs, process: name, kind, worker: entry.id, token });
    };
    return {
      start: async (order, timeoutMs) => {
        note('start', order.token);
        const sentMs = clock.monotonicMs();
        const reply = await call<StartReply>(
          (worker) => worker.start(order, timeoutMs),
          { kind: 'unknown', reason: 'cut off' },
          timeoutMs,
        );
        // The worker has carried it out, but nobody waits for the answer any more.
        return clock.monotonicMs() - sentMs > timeoutMs
          ? { kind: 'unknown', reason: 'time limit' }
          : reply;
      },
      stop: (task, run, token, timeoutMs) => {
        note('stop', token);
        return call<StopReply>(
          (worker) => worker.stop(task, run, token, timeoutMs),
          StopReply.failed,
          timeoutMs,
        );
      },
      pace: (task, run, percent, token, timeoutMs) =>
        call<PaceReply>(
          (worker) => worker.pace(task, run, percent, token, timeoutMs),
          PaceReply.failed,
          timeoutMs,
        ),
      hold: (order) =>
        call<HoldReply>(
          (worker) => worker.hold(order),
          { kind: 'failed', reason: 'cut off' },
          order.waitMs + order.timeoutMs,
        ),
      close: () => undefined,
    };
  }

  private createStoreClient(name: string, clock: PausableClock): LogStore {
    const client = this.store.createClient(name, clock);
    return {
      ...client,
      append: async (request) => {
        await this.useProcessor(name, clock);
        return client.append(request);
      },
    };
  }

  /** Waits until the processor of a process has done the calls before this one, and this one. */
  private async useProcessor(name: string, clock: PausableClock): Promise<void> {
    const costMs = this.options.callCostMs?.[name] ?? 0;
    if (costMs === 0) return;
    const nowMs = this.clock.monotonicMs();
    const doneMs = Math.max(nowMs, this.busyUntilMs.get(name) ?? 0) + costMs;
    this.busyUntilMs.set(name, doneMs);
    await new Promise<void>((resolve) => clock.after(doneMs - nowMs, resolve));
  }

  private async advise(
    clock: PausableClock,
    step: string,
    workers: readonly string[],
  ): ReturnType<AdviceClient> {
    await new Promise<void>((resolve) => clock.after(ADVICE_DELAY_MS, resolve));
    const allowed = workers.filter(
      (worker) => Random.create(computeHash(`${step}/${worker}`)).next() < ADVICE_ALLOWED_SHARE,
    );
    return { kind: 'allowed', tickets: allowed.map((worker) => [worker, 'ticket'] as const) };
  }
}

/** Lets everything run that is due now. */
function waitForDueWork(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function computeHash(text: string): number {
  let value = 2_166_136_261;
  for (const char of text) value = Math.imul(value ^ char.charCodeAt(0), 16_777_619);
  return value >>> 0;
}
