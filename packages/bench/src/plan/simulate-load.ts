import { planCell } from '@acaciahoist/cell-planner';
import type { PlannedWorker } from '@acaciahoist/cell-planner/planned-worker';
import type { ReadyStep } from '@acaciahoist/cell-planner/ready-step';
import type { Capacity } from '@acaciahoist/cell-planner/capacity';
import { adjustCapacity } from '@acaciahoist/cell-planner/adjust-capacity';
import { plainStep } from '@acaciahoist/cell-types/plain-step';
import type { QueueTerms } from '@acaciahoist/cell-types/queue-terms';
import { Random } from '@acaciahoist/random';
import type { LoadClass } from './load-class.js';

interface Options {
  seed: number;
  workers: number;
  /** Processes that call the advice service, one call at a time each. */
  lanes: number;
  classes: readonly LoadClass[];
  lengthMs: number;
  /** Times with more jobs of a class. */
  bursts: readonly { name: string; fromMs: number; toMs: number; factor: number }[];
  /** Times at which this share of the workers fails; they come back empty later. */
  failures: readonly { atMs: number; forMs: number; share: number }[];
  /** Times for which this share of the workers takes no starts; what runs there goes on. */
  cuts: readonly { atMs: number; forMs: number; share: number }[];
  /** Times without planning, as in a take-over. */
  pauses: readonly { fromMs: number; toMs: number }[];
}

interface ClassResult {
  name: string;
  jobs: number;
  inObjective: number;
  late: number;
  /** Worth earned as a share of all worth. */
  worth: number;
  medianWaitMs: number;
}

interface Run {
  step: Step;
  index: number;
  worker: PlannedWorker;
  size: Capacity;
  startedMs: number;
  endsMs: number;
}

interface Step extends ReadyStep {
  waitingTasks: number[];
  job: Job;
  workMs: number;
  left: number;
  runs: Set<Run>;
  advice: NonNullable<ReadyStep['advice']> & {
    allowed: Map<string, number>;
    denied: Set<string>;
  };
}

interface Job {
  load: LoadClass;
  sinceMs: number;
  objectiveMs: number;
  worth: number;
  steps: { open: () => Step }[];
  firstStartMs: number | undefined;
  endedMs: number | undefined;
}

const ROUND_MS = 20;
/** From the end of the last task until a client sees it, and from an event to the next round. */
const SHOWN_MS = 80;
const TOTAL: Capacity = { millicores: 32_000, memoryMib: 65_536, accelerators: 0 };
const WORKERS_PER_RACK = 12;
const LANES_PER_PROMPT_LANE = 3;
const NAMED_IN_OBJECTIVE = 30;
const LATE_FACTOR = 3;
const LATE_SHARE = 0.2;

/** Plays a load on the planner alone, on simulated time, and tells what each class of jobs earned. */
export function simulateLoad(options: Options): { worth: number; classes: ClassResult[] } {
  return Simulation.create(options).run();
}

class Simulation {
  static create(options: Options): Simulation {
    return new Simulation(options);
  }

  /** Draws the jobs, which must not depend on the plan. */
  private readonly arrivals: Random;
  private readonly random: Random;
  private readonly jobs: Job[] = [];
  private readonly ready = new Set<Step>();
  private readonly runs = new Map<string, Set<Run>>();
  private readonly workers: PlannedWorker[];
  private readonly downUntilMs = new Map<string, number>();
  private events: { atMs: number; run: () => void }[] = [];
  private busy = { prompt: 0, other: 0 };
  private keys = 0;
  private nowMs = 0;

  private constructor(private readonly options: Options) {
    this.arrivals = Random.create(options.seed);
    this.random = Random.create(options.seed + 1);
    this.workers = Array.from({ length: options.workers }, (_, number) => {
      const id = `w${String(number).padStart(4, '0')}`;
      this.runs.set(id, new Set());
      return {
        id,
        service: 'work',
        rack: `r${Math.floor(number / WORKERS_PER_RACK)}`,
        labels: [],
        total: TOTAL,
        free: { ...TOTAL },
        listRuns: () =>
          [...(this.runs.get(id) ?? [])].map((run) => ({
            endsInMs: Math.max(0, run.startedMs + run.step.step.estimateMs - this.nowMs),
            size: run.size,
          })),
        startable: true,
        probation: false,
      };
    });
  }

  run(): { worth: number; classes: ClassResult[] } {
    const { classes, lengthMs, failures, cuts } = this.options;
    for (const load of classes) this.scheduleArrival(load);
    for (const { atMs, forMs, share } of failures)
      this.at(atMs, () => {
        for (const worker of this.takeDown(share, forMs))
          for (const run of [...(this.runs.get(worker.id) ?? [])]) this.end(run, false);
      });
    for (const { atMs, forMs, share } of cuts)
      this.at(atMs, () => {
        this.takeDown(share, forMs);
      });
    for (; this.nowMs < lengthMs + 60_000; this.nowMs += ROUND_MS) {
      this.events.sort((left, right) => left.atMs - right.atMs);
      while (this.events[0] !== undefined && this.events[0].atMs <= this.nowMs)
        this.events.shift()?.run();
      if (!this.isPaused()) this.plan();
    }
    return this.result();
  }

  private isPaused(): boolean {
    return this.options.pauses.some(
      ({ fromMs, toMs }) => fromMs <= this.nowMs && this.nowMs < toMs,
    );
  }

  private plan(): void {
    const { lanes } = this.options;
    const promptLanes = Math.ceil(lanes / LANES_PER_PROMPT_LANE);
    const busy = this.busy.prompt + this.busy.other;
    for (const worker of this.workers)
      worker.startable = (this.downUntilMs.get(worker.id) ?? 0) <= this.nowMs;
    const plan = planCell([...this.ready], this.workers, this.nowMs, {
      promptRequests: lanes - busy,
      otherRequests: lanes - promptLanes - this.busy.other,
      starts: 400,
    });
    const byKey = new Map([...this.ready].map((step) => [step.key, step]));
    const byId = new Map(this.workers.map((worker) => [worker.id, worker]));
    for (const { key, index, worker } of plan.starts) {
      const step = byKey.get(key);
      const target = byId.get(worker);
      if (step !== undefined && target !== undefined) this.start(step, index, target);
    }
    for (const { key, workers } of plan.adviceRequests) {
      const step = byKey.get(key);
      if (step !== undefined) this.ask(step, workers);
    }
  }

  private start(step: Step, index: number, worker: PlannedWorker): void {
    step.waitingTasks.splice(step.waitingTasks.indexOf(index), 1);
    if (step.waitingTasks.length === 0) this.ready.delete(step);
    step.job.firstStartMs ??= this.nowMs;
    const { millicores, memoryMib, accelerators } = step.step;
    // The members of a gang end together.
    const varied = step.step.gang ? 1 : 0.7 + 0.6 * this.random.next();
    const endsMs = this.nowMs + step.workMs * varied;
    const size = { millicores, memoryMib, accelerators };
    const run: Run = { step, index, worker, size, startedMs: this.nowMs, endsMs };
    step.runs.add(run);
    this.runs.get(worker.id)?.add(run);
    this.at(endsMs, () => {
      if (step.runs.has(run)) this.end(run, true);
    });
  }

  private end(run: Run, isDone: boolean): void {
    const { step, worker } = run;
    // Another member may have ended it already.
    if (!step.runs.delete(run)) return;
    this.runs.get(worker.id)?.delete(run);
    adjustCapacity(worker.free, run.size, 1);
    if (!isDone) {
      step.waitingTasks.push(run.index);
      // A gang cannot go on without a member.
      if (step.step.gang) for (const other of [...step.runs]) this.end(other, false);
      this.ready.add(step);
      return;
    }
    step.left -= 1;
    if (step.left > 0) return;
    const next = step.job.steps.shift();
    if (next === undefined) step.job.endedMs = this.nowMs + SHOWN_MS;
    else this.ready.add(next.open());
  }

  private ask(step: Step, named: readonly string[]): void {
    const { advice } = step.queue;
    if (advice === undefined) return;
    const kind = step.queue.priority === 0 ? 'prompt' : 'other';
    this.busy[kind] += 1;
    step.advice.isOutstanding = true;
    this.at(this.nowMs + advice.decisionMs + advice.perWorkerMs * named.length, () => {
      this.busy[kind] -= 1;
      step.advice.isOutstanding = false;
      step.advice.isAnswered = true;
      for (const id of named) {
        const isAllowed =
          Random.create(hash(`${step.key}/${id}`)).next() < step.job.load.advice.allowedShare;
        if (isAllowed) step.advice.allowed.set(id, this.nowMs + advice.ticketMs);
        else step.advice.denied.add(id);
      }
    });
  }

  /** Workers of the share, which take no starts for this time. */
  private takeDown(share: number, forMs: number): PlannedWorker[] {
    const down = this.workers.filter(() => this.random.next() < share);
    for (const worker of down) this.downUntilMs.set(worker.id, this.nowMs + forMs);
    return down;
  }

  private scheduleArrival(load: LoadClass): void {
    const { bursts, lengthMs } = this.options;
    const factor = bursts
      .filter(
        ({ name, fromMs, toMs }) => name === load.name && fromMs <= this.nowMs && this.nowMs < toMs,
      )
      .reduce((product, burst) => product * burst.factor, 1);
    const atMs = this.nowMs + this.arrivals.interval(load.jobsPerS * factor);
    if (atMs >= lengthMs) return;
    this.at(atMs, () => {
      this.arrive(load, atMs);
      this.scheduleArrival(load);
    });
  }

  private arrive(load: LoadClass, atMs: number): void {
    const count = this.arrivals.next() < load.secondStep ? 2 : 1;
    const queue: QueueTerms = {
      name: load.name,
      service: 'work',
      priority: load.priority,
      maxAttempts: 2,
      stretch: load.stretch,
      baseMs: load.baseMs,
      advice: load.advice,
    };
    const drafts = Array.from({ length: count }, () => {
      const workMs = this.vary(load.workMs, load.maxWorkMs, load.spread);
      const off = 1 + load.estimateOff * (2 * this.arrivals.next() - 1);
      return {
        workMs,
        estimateMs: Math.max(1, workMs * off),
        width: Math.max(1, Math.round(this.vary(load.width, load.maxWidth, load.spread))),
        millicores: Math.round(this.vary(load.millicores, load.maxMillicores, load.spread)),
        memoryMib: Math.round(this.vary(load.memoryMib, load.maxMemoryMib, load.spread)),
        gang: this.arrivals.next() < load.gang,
      };
    });
    const adviceMs = load.advice.decisionMs + load.advice.perWorkerMs * NAMED_IN_OBJECTIVE;
    const sum = (lengths: readonly number[]): number =>
      lengths.reduce((total, ms) => total + ms + adviceMs, 0);
    const chainMs = sum(drafts.map(({ workMs }) => workMs));
    const size = drafts.reduce(
      (total, step) => total + step.workMs * step.width * step.millicores,
      0,
    );
    const meanSize = load.workMs * load.width * load.millicores * (1 + load.secondStep);
    const job: Job = {
      load,
      sinceMs: atMs,
      objectiveMs: atMs + load.stretch * chainMs + load.baseMs,
      worth: load.worth * Math.min(4, 0.3 + (0.7 * size) / meanSize),
      steps: [],
      firstStartMs: undefined,
      endedMs: undefined,
    };
    const estimated = drafts.map(({ estimateMs }) => estimateMs);
    const assumedMs = atMs + load.stretch * sum(estimated) + load.baseMs;
    job.steps = drafts.map((draft, position) => ({
      open: (): Step => ({
        key: String((this.keys += 1)).padStart(6, '0'),
        job,
        queue,
        step: {
          ...plainStep,
          count: draft.width,
          millicores: draft.millicores,
          memoryMib: draft.memoryMib,
          estimateMs: draft.estimateMs,
          gang: draft.gang,
        },
        workMs: draft.workMs,
        left: draft.width,
        runs: new Set(),
        waitingTasks: Array.from({ length: draft.width }, (_, index) => index),
        tasksByWorker: new Map(),
        failedOn: new Map(),
        dueMs: atMs,
        objectiveMs: assumedMs,
        remainingMs: sum(estimated.slice(position)),
        advice: { allowed: new Map(), denied: new Set(), isOutstanding: false, isAnswered: false },
      }),
    }));
    this.jobs.push(job);
    const first = job.steps.shift();
    if (first !== undefined) this.ready.add(first.open());
  }

  private result(): { worth: number; classes: ClassResult[] } {
    const earned = (job: Job): number => {
      const tookMs = (job.endedMs ?? Number.POSITIVE_INFINITY) - job.sinceMs;
      const aimMs = job.objectiveMs - job.sinceMs;
      if (tookMs <= aimMs) return job.worth;
      return tookMs <= LATE_FACTOR * aimMs ? LATE_SHARE * job.worth : 0;
    };
    const share = (jobs: readonly Job[]): number => {
      const owed = jobs.reduce((total, job) => total + job.worth, 0);
      return jobs.reduce((total, job) => total + earned(job), 0) / Math.max(1e-9, owed);
    };
    return {
      worth: round(share(this.jobs)),
      classes: this.options.classes.map((load) => {
        const jobs = this.jobs.filter((job) => job.load === load);
        const waits = jobs
          .map((job) => (job.firstStartMs ?? Number.POSITIVE_INFINITY) - job.sinceMs)
          .sort((left, right) => left - right);
        const inObjective = jobs.filter((job) => earned(job) === job.worth).length;
        return {
          name: load.name,
          jobs: jobs.length,
          inObjective,
          late: jobs.filter((job) => earned(job) > 0).length - inObjective,
          worth: round(share(jobs)),
          medianWaitMs: Math.round(waits[Math.floor(waits.length / 2)] ?? 0),
        };
      }),
    };
  }

  private vary(mean: number, most: number, spread: number): number {
    // Sum of uniforms: close to normal, with mean 0 and deviation 1.
    let normal = -6;
    for (let part = 0; part < 12; part += 1) normal += this.arrivals.next();
    return Math.min(most, mean * Math.exp(spread * normal - (spread * spread) / 2));
  }

  private at(atMs: number, run: () => void): void {
    this.events.push({ atMs, run });
  }
}

function round(share: number): number {
  return Number(share.toFixed(3));
}

function hash(text: string): number {
  let value = 2_166_136_261;
  for (const char of text) value = Math.imul(value ^ char.charCodeAt(0), 16_777_619);
  return value >>> 0;
}
