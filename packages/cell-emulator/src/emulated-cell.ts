import Result from 'true-myth/result';
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
import type { CellConfiguration } from '@acaciahoist/cell-types/cell-configuration';
import type { StartReply } from '@acaciahoist/cell-types/start-reply';
import { StopReply } from '@acaciahoist/cell-types/stop-reply';
import type { WorkerEntry } from '@acaciahoist/cell-types/worker-entry';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { CellProcess } from '@acaciahoist/cell-process';
import { EmulatedGangs } from './emulated-gangs.js';
import { EmulatedPeers } from './emulated-peers.js';
import { EmulatedStore } from './emulated-store.js';
import { EmulatedWorker } from './emulated-worker.js';
import { findExcessStops } from './find-excess-stops.js';
import { findViolations } from './find-violations.js';
import type { HistoryEvent } from './history-event.js';
import { Random } from '@acaciahoist/random';

type WorkerProperties = Pick<WorkerEntry, 'millicores' | 'memoryMib' | 'labels'>;

/** Capacity and labels of a worker for which a test sets none. */
const DEFAULT_WORKER_PROPERTIES: WorkerProperties = {
  millicores: 8_000,
  memoryMib: 16_384,
  labels: ['a'],
};
/** Time in ms that the advice service takes to reply. */
const ADVICE_DELAY_MS = 20;
/** Share of the workers for which the advice service grants tickets for a step. */
const ADVICE_ALLOWED_SHARE = 0.7;
/** Failures of a submission after which the job never runs. */
const REFUSAL_KINDS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.logUnavailable,
  ErrorKind.quotaExceeded,
  ErrorKind.overloaded,
]);
/** Longest lease in ms that a worker grants. */
const MAX_LEASE_MS = 10_000;
/** Ratio of the duration to the estimate of a task whose job has the payload `long`. */
const LONG_FACTOR = 100;
/** Age in ms up to which a pending count may omit changes. */
const MAX_PENDING_COUNT_AGE_MS = 2_000;
/** Timeout in ms of a client's submission or cancel. */
const CLIENT_TIMEOUT_MS = 2_500;
/** Number of data centres over which processes and workers are spread. */
const DATA_CENTRE_COUNT = 3;
/** Default time in ms for which the processes keep ended jobs: longer than any schedule of faults. */
const DEFAULT_RETENTION_MS = 120_000;
/** Largest step in ms by which the clock advances before the code that is due runs. */
const CLOCK_STEP_MS = 2;

interface Options {
  seed: number;
  processes: number;
  workers: number;
  /** Processor cores of the machine of a process, by name of the process; 1 by default. */
  cores?: Readonly<Record<string, number>>;
  /** Processor time in ms of a call to a worker or of an append, by name of the process; 0 by default. */
  callCostMs?: Readonly<Record<string, number>>;
  /** Number of processes up to which all hold a replica, and number of standbys in larger cells. */
  replicas?: { maxSmallCellSize: number; standbys: number };
  /** Time in ms for which the processes keep ended jobs; `DEFAULT_RETENTION_MS` if unset. */
  retentionMs?: number;
}

/** A process of the cell; `process` and `clock` belong to its newest incarnation. */
interface EmulatedProcess {
  name: string;
  process: CellProcess;
  isUp: boolean;
  clock: PausableClock;
}

/** A start or stop that a process sent to a worker, whether it arrived or not. */
interface SentOrder {
  atMs: number;
  process: string;
  kind: 'start' | 'stop';
  worker: string;
  token: number;
}

/**
 * A whole cell on a manual clock: processes, store, workers and advice service, with faults that a test
 * injects.
 */
export class EmulatedCell {
  static create(options: Options): EmulatedCell {
    return new EmulatedCell(options);
  }

  readonly clock = ManualClock.create(1_700_000_000_000);
  readonly store: EmulatedStore;
  readonly random: Random;
  /** Events of all runs at the workers, oldest first. */
  readonly history: HistoryEvent[] = [];
  /** Log lines of all processes, with time and incarnation. */
  readonly logLines: string[] = [];
  /** Submitted jobs by their id, whatever the result was. */
  readonly jobs = new Map<string, CellJob>();
  /** Ids of the jobs that a process has accepted. */
  readonly acceptedJobs = new Set<string>();
  /** Time at which a client first requested to cancel a job, whatever the result was, by job id. */
  readonly cancelRequestedAtMs = new Map<string, number>();
  /** Ids of the jobs that no process accepted and whose last submission was refused. */
  readonly refusedJobs = new Set<string>();
  /** Time at which the last cancel of a job was acknowledged, by job id. */
  readonly cancelledAtMs = new Map<string, number>();
  /** Newest incarnation of each worker, by its id. */
  readonly workers = new Map<string, EmulatedWorker>();
  readonly processes: EmulatedProcess[] = [];
  /** Starts and stops that the processes sent, oldest first. */
  readonly orders: SentOrder[] = [];
  /** Counters of the metrics of all processes together. */
  readonly counters = new Map<string, number>();
  /** Calls of the processes to the advice service, oldest first. */
  readonly adviceCalls: { step: string; workers: readonly string[] }[] = [];
  /** Returns whether calls between the process and the worker are lost at present. */
  isDisconnected: (process: string, worker: string) => boolean = () => false;
  readonly peers: EmulatedPeers;
  private readonly gangs: EmulatedGangs;
  /** Time at which a job was first accepted, by job id. */
  private readonly acceptedAtMs = new Map<string, number>();
  /** Description of the first pending count that was too low, by process. */
  private readonly lowPendingCounts = new Map<string, string>();
  /** Description of the first answer that a job is unknown although it must be known, by job id. */
  private readonly unknownJobs = new Map<string, string>();
  private readonly retentionMs: number;
  private incarnationCount = 0;
  private workerStartCount = 0;
  /** Time up to which the processor of a process is busy, by name of the process. */
  private readonly busyUntilMs = new Map<string, number>();

  private constructor(private readonly options: Options) {
    this.random = Random.create(options.seed);
    this.retentionMs = options.retentionMs ?? DEFAULT_RETENTION_MS;
    this.store = EmulatedStore.create(this.clock);
    this.gangs = EmulatedGangs.create(this.clock);
    this.peers = EmulatedPeers.create(this.clock, (name) => this.findProcess(name));
    this.writeConfiguration(1);
  }

  /** Writes a configuration with this version to the store, as the operator does. */
  writeConfiguration(
    version: number,
    fields: Partial<Pick<CellConfiguration, 'queues' | 'teams'>> = {},
  ): void {
    const defaults = { queues: [], teams: [], guarded: {}, maxBodyBytes: 100_000 };
    const configuration = { ...defaults, ...fields, version };
    this.store.writeKey('keyed.op', 'config', Buffer.from(JSON.stringify(configuration)));
  }

  /** Starts all workers and processes. */
  async start(): Promise<void> {
    for (let index = 0; index < this.options.workers; index += 1) this.addWorker(`w${index}`);
    for (let index = 0; index < this.options.processes; index += 1)
      await this.startProcess(`p${index}`);
  }

  /** Advances the clock and runs the code that becomes due. */
  async advance(ms: number): Promise<void> {
    const endMs = this.clock.monotonicMs() + ms;
    // Runs the work that the caller has started.
    await waitForDueWork();
    while (this.clock.monotonicMs() < endMs) {
      const firedCount = this.clock.advance(
        Math.min(CLOCK_STEP_MS, endMs - this.clock.monotonicMs()),
      );
      if (firedCount > 0) await waitForDueWork();
    }
  }

  /**
   * Starts a worker, or a new incarnation of it at a new address, and publishes its entry. Calls to the address of
   * the former incarnation get no reply, unless `address` is the same. `properties` default to those of the former
   * incarnation. The entry is written to the store after `entryDelayMs`.
   */
  addWorker(
    id: string,
    address = `${id}:${this.workerStartCount + 1}`,
    properties: WorkerProperties = this.workers.get(id)?.entry ?? DEFAULT_WORKER_PROPERTIES,
    entryDelayMs = 0,
  ): EmulatedWorker {
    this.workerStartCount += 1;
    // A worker has one incarnation at a time, also when two faults that restart it overlap.
    this.workers.get(id)?.crash();
    const entry: WorkerEntry = {
      id,
      born: this.clock.wallMs(),
      service: 'work',
      address,
      dataCentre: 'a',
      draining: false,
      leavesInMs: 0,
      millicores: properties.millicores,
      memoryMib: properties.memoryMib,
      accelerators: 0,
      rack: `r${this.workers.size % 2}`,
      labels: properties.labels,
    };
    const worker = EmulatedWorker.create({
      clock: this.clock,
      entry,
      getRunPlan: (task, run) => this.getRunPlan(task, run),
      getGangSize: (task) => this.getGangSize(task),
      gangs: this.gangs,
      isBestEffort: (task) => this.findStep(task)?.usesSpareCpu === true,
      recordEvent: (event) => this.history.push(event),
    });
    this.workers.set(id, worker);
    if (entryDelayMs === 0) this.publishWorker(entry);
    else
      this.clock.after(entryDelayMs, () => {
        if (worker.isUp) this.publishWorker(entry);
      });
    return worker;
  }

  /** Writes the entry of a worker to the store, as the worker does. */
  publishWorker(entry: WorkerEntry): void {
    this.publishText(entry.id, JSON.stringify(entry));
  }

  /** Writes any text as the entry of a worker to the store, as another program may do. */
  publishText(id: string, text: string): void {
    this.store.writeKey('keyed.servers', id, Buffer.from(text));
  }

  /** Removes the entry of a worker, as the platform does when the worker has been unreachable for some time. */
  removeWorkerEntry(id: string): void {
    this.store.writeKey('keyed.servers', id, undefined);
  }

  /** Starts a process, or a new incarnation of it after `killProcess`. */
  async startProcess(name: string): Promise<void> {
    this.incarnationCount += 1;
    const incarnationName = `${name}#${this.incarnationCount}`;
    const clock = PausableClock.create(this.clock);
    const process = CellProcess.create({
      clock,
      log: (level, event, fields = {}) => {
        this.logLines.push(
          `${this.clock.monotonicMs()} ${incarnationName} ${level} ${event} ${JSON.stringify(fields)}`,
        );
      },
      count: (counter, by = 1) => {
        this.counters.set(counter, (this.counters.get(counter) ?? 0) + by);
      },
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
      retentionMs: this.retentionMs,
      maxLeaseMs: MAX_LEASE_MS,
      ownerTimeoutMs: 1_000,
      claimJitterMs: this.random.integer(0, 300 - 1),
      cores: this.options.cores?.[name] ?? 1,
      dataCentre: this.getDataCentre(name),
      replicas: this.options.replicas ?? { maxSmallCellSize: 12, standbys: 4 },
      decodeConfiguration: (data) =>
        Result.ok(JSON.parse(Buffer.from(data).toString()) as CellConfiguration),
      decodeWorkerEntry: (_id, data) => JSON.parse(Buffer.from(data).toString()) as WorkerEntry,
      connect: (entry) => this.connect(name, incarnationName, clock, entry),
      advise: (step, workers) => this.advise(clock, step, workers),
    });
    const existing = this.findProcess(name);
    if (existing !== undefined) Object.assign(existing, { process, isUp: true, clock });
    else this.processes.push({ name, process, isUp: true, clock });
    await process.start();
  }

  /** Kills a process: none of its outstanding work continues. */
  killProcess(name: string): void {
    const target = this.findProcess(name);
    if (target?.isUp !== true) return;
    target.isUp = false;
    target.process.abort();
  }

  /** Pauses the process until `resume`; its monotonic clock keeps running. */
  pause(name: string): void {
    this.findProcess(name)?.clock.pause();
  }

  /** Suspends the machine of the process until `resume`; its monotonic clock stops too. */
  suspend(name: string): void {
    this.findProcess(name)?.clock.suspend();
  }

  /** Shifts the wall clock of the current incarnation of a process. */
  jumpWall(name: string, byMs: number): void {
    this.findProcess(name)?.clock.jumpWall(byMs);
  }

  /**
   * Resumes a paused or suspended process: runs its overdue timers and delivers the replies that arrived, in
   * random order: all timers first or all replies first.
   */
  async resume(name: string): Promise<void> {
    const target = this.findProcess(name);
    if (target?.clock.isStopped !== true) return;
    const { timers, arrivals } = target.clock.resume();
    const callbacks =
      this.random.next() < 0.5 ? [...timers, ...arrivals] : [...arrivals, ...timers];
    for (const callback of callbacks) {
      callback();
      await waitForDueWork();
    }
  }

  /**
   * Returns the name of the owner; if two processes act as owner, that of one that is neither paused nor
   * suspended.
   */
  findOwnerName(): string | undefined {
    const owners = this.processes.filter(({ process, isUp }) => isUp && process.isOwner());
    return (owners.find(({ clock }) => !clock.isStopped) ?? owners[0])?.name;
  }

  /** Returns the data centre of a process or a worker by its name. */
  getDataCentre(name: string): string {
    return `d${Number(name.slice(1)) % DATA_CENTRE_COUNT}`;
  }

  private findProcess(name: string): EmulatedProcess | undefined {
    return this.processes.find((candidate) => candidate.name === name);
  }

  /** Submits a job to a process and records the result. */
  async submit(job: CellJob, processName: string): Promise<'accepted' | 'refused' | 'unknown'> {
    this.jobs.set(job.id, job);
    const target = this.processes.find(
      (candidate) => candidate.name === processName && candidate.isUp,
    );
    if (target === undefined) return 'unknown';
    const { clock, process } = target;
    await clock.deliver(Promise.resolve());
    const result = await process.front.submit(job, CLIENT_TIMEOUT_MS);
    if (result.isOk) {
      this.acceptedJobs.add(job.id);
      if (!this.acceptedAtMs.has(job.id)) this.acceptedAtMs.set(job.id, this.clock.monotonicMs());
      this.refusedJobs.delete(job.id);
      return 'accepted';
    }
    if (!REFUSAL_KINDS.has(result.error.kind)) {
      this.refusedJobs.delete(job.id);
      return 'unknown';
    }
    if (!this.acceptedJobs.has(job.id)) this.refusedJobs.add(job.id);
    return 'refused';
  }

  /** Cancels a job at a process; returns whether the cancel was acknowledged. */
  async cancel(id: string, processName: string): Promise<boolean> {
    if (!this.cancelRequestedAtMs.has(id))
      this.cancelRequestedAtMs.set(id, this.clock.monotonicMs());
    const target = this.processes.find(
      (candidate) => candidate.name === processName && candidate.isUp,
    );
    await target?.clock.deliver(Promise.resolve());
    const result = await target?.process.front.cancel(id, CLIENT_TIMEOUT_MS);
    // That no such job exists also promises that none starts, as clients read it.
    const isAcknowledged =
      result !== undefined && (result.isOk || result.error.kind === ErrorKind.unknownJob);
    if (!isAcknowledged) return false;
    this.cancelledAtMs.set(id, this.clock.monotonicMs());
    return true;
  }

  /**
   * Queries the pending count of the queue at each process, and records the counts that are too low at the
   * time of the reply; the clock may have to advance before a reply arrives.
   */
  checkPendingCounts(queue = 'q'): void {
    for (const { name, process, isUp, clock } of this.processes) {
      if (!isUp || clock.isStopped) continue;
      void process.front.pendingOf(queue).then((pendingCount) => {
        if (pendingCount === undefined || this.lowPendingCounts.has(name)) return;
        const expectedCount = this.countPendingJobs();
        if (pendingCount >= expectedCount) return;
        const nowMs = this.clock.monotonicMs();
        this.lowPendingCounts.set(
          name,
          `${name} reports ${pendingCount} of ${expectedCount} pending jobs at ${nowMs} ms`,
        );
      });
    }
  }

  /**
   * Queries the state of each accepted job at each process, and records the jobs that a process does not know
   * although they have not ended or their retention time has not passed; the clock may have to advance
   * before a reply arrives.
   */
  checkJobStates(): void {
    const acceptedIds = [...this.acceptedJobs];
    for (const { name, process, isUp, clock } of this.processes) {
      if (!isUp || clock.isStopped) continue;
      for (const id of acceptedIds) {
        const sentAtMs = this.clock.monotonicMs();
        void process.front.jobStateOf(id).then((jobState) => {
          if (jobState.isOk || jobState.error.kind !== ErrorKind.unknownJob) return;
          const endedAtMs = this.findEarliestEndMs(id);
          if (this.unknownJobs.has(id) || sentAtMs >= endedAtMs + this.retentionMs) return;
          const end = Number.isFinite(endedAtMs) ? `ended at ${endedAtMs} ms` : 'has not ended';
          this.unknownJobs.set(
            id,
            `${name} does not know job ${id} at ${sentAtMs} ms, which ${end}`,
          );
        });
      }
    }
  }

  /**
   * Returns a lower bound of the time at which a job ended, as its workers and clients have seen it;
   * infinite for a job that has not ended.
   */
  private findEarliestEndMs(id: string): number {
    const taskCount = this.jobs.get(id)?.steps.reduce((sum, { count }) => sum + count, 0) ?? 0;
    const ends = this.history.filter(
      ({ kind, task, how }) =>
        kind === 'ended' && how === RunEnd.done && taskName.jobOf(task) === id,
    );
    const isDone = new Set(ends.map(({ task }) => task)).size === taskCount;
    const doneAtMs = isDone ? Math.max(...ends.map(({ atMs }) => atMs)) : Number.POSITIVE_INFINITY;
    return Math.min(doneAtMs, this.cancelRequestedAtMs.get(id) ?? Number.POSITIVE_INFINITY);
  }

  /**
   * Counts the jobs that were accepted at least `MAX_PENDING_COUNT_AGE_MS` ago, have no started task and were
   * not requested to be cancelled.
   */
  private countPendingJobs(): number {
    const nowMs = this.clock.monotonicMs();
    const started = new Set(
      this.history.filter(({ kind }) => kind === 'started').map(({ task }) => taskName.jobOf(task)),
    );
    return [...this.acceptedAtMs].filter(
      ([id, acceptedAtMs]) =>
        acceptedAtMs <= nowMs - MAX_PENDING_COUNT_AGE_MS &&
        !started.has(id) &&
        !this.cancelRequestedAtMs.has(id),
    ).length;
  }

  /**
   * Returns the violations of the guarantees and those that the checks of pending counts and of job states have
   * found.
   */
  listViolations(): string[] {
    const violations = findViolations({
      history: this.history,
      jobs: this.jobs,
      findWorkerMillicores: (worker) => this.workers.get(worker)?.entry.millicores ?? 0,
      cancelledAtMs: this.cancelledAtMs,
      refusedJobs: this.refusedJobs,
    });
    const excessStops = findExcessStops(this);
    return [
      ...violations,
      ...excessStops,
      ...this.lowPendingCounts.values(),
      ...this.unknownJobs.values(),
    ];
  }

  /** Returns the accepted jobs that a process with a replica does not report as ended. */
  listUnfinishedJobs(): string[] {
    const replicaHolder = this.processes.find(
      ({ isUp, process }) => isUp && process.holdsReplica(),
    );
    return [...this.acceptedJobs].filter((id) => {
      const outcome = replicaHolder?.process.jobStateOf(id);
      return outcome === undefined || outcome === 'queued' || outcome === 'running';
    });
  }

  /**
   * Returns how long a run lasts and how it ends, by the estimate of its step and the payload of its job. A
   * long-running task does not end by itself.
   */
  private getRunPlan(task: string, run: number): { durationMs: number; how: RunEnd } {
    const ref = taskName.parse(task);
    const job = ref && this.jobs.get(ref.job);
    const step = job?.steps[ref?.step ?? 0];
    const durationMs =
      step?.longRunning === true
        ? Number.POSITIVE_INFINITY
        : (step?.estimateMs ?? 100) * (job?.payload === 'long' ? LONG_FACTOR : 1);
    const fails =
      job?.payload.startsWith('fails') === true || (job?.payload === 'flaky' && run === 1);
    return { durationMs, how: fails ? RunEnd.failed : RunEnd.done };
  }

  private getGangSize(task: string): number {
    const step = this.findStep(task);
    return step?.gang === true ? step.count : 0;
  }

  private findStep(task: string): CellStep | undefined {
    const ref = taskName.parse(task);
    return ref && this.jobs.get(ref.job)?.steps[ref.step];
  }

  /**
   * Creates the client with which a process calls a worker; it loses calls while the two are disconnected.
   * Throws for an address that no URL can contain, as an HTTP client does.
   */
  private connect(
    name: string,
    incarnationName: string,
    clock: PausableClock,
    entry: WorkerEntry,
  ): ReturnType<EmulatedWorker['createClient']> {
    new URL(`http://${entry.address}`);
    const findClient = (): ReturnType<EmulatedWorker['createClient']> | undefined => {
      const worker = [...this.workers.values()].find(
        (candidate) => candidate.entry.address === entry.address,
      );
      if (worker === undefined || this.isDisconnected(name, worker.entry.id)) return undefined;
      if (worker.entry.id !== entry.id) return worker.createGoneClient();
      return worker.entry.born === entry.born
        ? worker.createClient(incarnationName)
        : worker.createClientOfFormer(incarnationName);
    };
    const call = async <Reply>(
      send: (worker: ReturnType<EmulatedWorker['createClient']>) => Promise<Reply>,
      timeoutReply: Reply,
      timeoutMs: number,
    ): Promise<Reply> => {
      await this.useProcessor(name, clock);
      const worker = findClient();
      const reply = worker && (await clock.deliver(send(worker)));
      // A reply is also lost if the connection is lost before it arrives.
      if (reply !== undefined && !this.isDisconnected(name, entry.id)) return reply;
      await new Promise<void>((resolve) => clock.after(timeoutMs, resolve));
      return timeoutReply;
    };
    const recordOrder = (kind: SentOrder['kind'], token: number): void => {
      const atMs = this.clock.monotonicMs();
      this.orders.push({ atMs, process: name, kind, worker: entry.id, token });
    };
    return {
      start: async (order, timeoutMs) => {
        recordOrder('start', order.token);
        const sentAtMs = clock.monotonicMs();
        const reply = await call<StartReply>(
          (worker) => worker.start(order, timeoutMs),
          { kind: 'unknown', reason: `connection to worker ${entry.id} lost` },
          timeoutMs,
        );
        // The worker may have executed the start, but its reply arrived after the timeout.
        return clock.monotonicMs() - sentAtMs > timeoutMs
          ? { kind: 'unknown', reason: `no reply to the start within ${timeoutMs} ms` }
          : reply;
      },
      stop: (task, run, token, timeoutMs) => {
        recordOrder('stop', token);
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
      hold: (holdCall) =>
        call<HoldReply>(
          (worker) => worker.hold(holdCall),
          { kind: 'failed', reason: `connection to worker ${entry.id} lost` },
          holdCall.waitMs + holdCall.timeoutMs,
        ),
      close: () => undefined,
    };
  }

  /** Creates the store client of a process, in which an append uses the processor of the process. */
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

  /** Waits until the processor of a process has executed the earlier calls and this one. */
  private async useProcessor(name: string, clock: PausableClock): Promise<void> {
    const costMs = this.options.callCostMs?.[name] ?? 0;
    if (costMs === 0) return;
    const nowMs = this.clock.monotonicMs();
    const doneAtMs = Math.max(nowMs, this.busyUntilMs.get(name) ?? 0) + costMs;
    this.busyUntilMs.set(name, doneAtMs);
    await new Promise<void>((resolve) => clock.after(doneAtMs - nowMs, resolve));
  }

  /** Replies to an advice request; which workers get a ticket depends only on the names of step and worker. */
  private async advise(
    clock: PausableClock,
    step: string,
    workers: readonly string[],
  ): ReturnType<AdviceClient> {
    this.adviceCalls.push({ step, workers });
    await new Promise<void>((resolve) => clock.after(ADVICE_DELAY_MS, resolve));
    const allowed = workers.filter(
      (worker) => Random.create(computeHash(`${step}/${worker}`)).next() < ADVICE_ALLOWED_SHARE,
    );
    return { kind: 'allowed', tickets: allowed.map((worker) => [worker, 'ticket'] as const) };
  }
}

/** Waits until the work that is due now has run. */
function waitForDueWork(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Computes the 32-bit FNV-1a hash of a text. */
function computeHash(text: string): number {
  let value = 2_166_136_261;
  for (const char of text) value = Math.imul(value ^ char.charCodeAt(0), 16_777_619);
  return value >>> 0;
}
