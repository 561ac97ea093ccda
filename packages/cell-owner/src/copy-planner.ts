import { Instant } from '@acaciahoist/clock/instant';
import { lateFactor } from '@acaciahoist/cell-planner/late-factor';
import type { ReadyStep } from '@acaciahoist/cell-planner/ready-step';
import { taskName } from '@acaciahoist/cell-state/task-name';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { computeCopyGain } from './compute-copy-gain.js';
import { computeCriticalPaths } from './compute-critical-paths.js';
import { computeObjectiveMs } from './compute-objective.js';
import { CopyOutcomes } from './copy-outcomes.js';
import { CopyRuns } from './copy-runs.js';
import { copySettings } from './copy-settings.js';
import { createRenewal } from './create-renewal.js';
import { findCopyTarget } from './find-copy-target.js';
import { hasQuotaFor } from './has-quota-for.js';
import { mayStartCopies } from './may-start-copies.js';
import type { OwnerContext } from './owner-context.js';
import { RunTimes } from './run-times.js';
import type { SlowRun } from './slow-run.js';
import type { TrackedRun } from './tracked-run.js';
import type { UndecidedCopy } from './undecided-copy.js';

interface Options {
  context: OwnerContext;
  /** Monotonic time at which this process applied its claim. */
  claimedAtMs: number;
  /** Lists the steps that the last planning round left waiting for capacity. */
  listWaitingSteps: () => readonly ReadyStep[];
}

/** A run that may get a copy, and what is known of it. */
interface Candidate {
  trackedRun: TrackedRun;
  slowRun: SlowRun;
}

/** Progress in percent below which the duration of a run is not projected: percents are whole numbers. */
const MIN_PERCENT = 5;
/** Highest speed that is learned of a worker. */
const MAX_SPEED = 4;

/**
 * Starts second runs of slow tasks of `speculative` steps. Load pattern: a few percent of the tasks take several times
 * as long as others of their step, or workers differ in speed. A task has at most one copy beside its current run, on
 * another worker, and only from capacity for which no step waits.
 */
export class CopyPlanner {
  static create(options: Options): CopyPlanner {
    return new CopyPlanner(options);
  }

  readonly copyRuns: CopyRuns;
  private readonly runTimes = RunTimes.create();
  private readonly outcomes = CopyOutcomes.create();
  /** Copies that are being recorded, by task. */
  private readonly proposed = new Map<string, UndecidedCopy>();

  private constructor(private readonly options: Options) {
    this.copyRuns = CopyRuns.create({
      context: options.context,
      onOutcome: (copy, isWin) => {
        this.learn(copy, isWin);
      },
    });
  }

  /** Appends the record of the copies to start. */
  plan(): void {
    const { clock, runs, proposals, append, count, isStopped } = this.options.context;
    if (!copySettings.isEnabled || isStopped() || !mayStartCopies(this.options.context)) return;
    const nowMs = clock.monotonicMs();
    const candidates = this.listCandidates(nowMs);
    if (candidates.length === 0) return;
    const allRuns = runs.list().length;
    let allowed = Math.min(
      Math.max(copySettings.minAllowed, Math.floor(allRuns * copySettings.maxShare)) -
        runs.listCopies().length -
        this.proposed.size,
      this.options.context.startWindow.countAllowed(proposals.countStarts()),
    );
    const copies: [task: string, run: number, worker: string][] = [];
    const slowWorkers = new Set(candidates.map(({ trackedRun }) => trackedRun.worker));
    for (const candidate of candidates) {
      if (allowed <= 0) break;
      const copy = this.tryCopy(candidate, slowWorkers);
      if (copy === undefined) continue;
      copies.push(copy);
      allowed -= 1;
    }
    if (copies.length === 0) return;
    count('copies_started_total', copies.length);
    append([createRenewal(this.options.context, this.options.claimedAtMs, { copies })]);
  }

  /** Handles a renewal after it was applied; `sendCopy` is called for each copy in it. */
  handleRenewal(
    { copies }: Extract<CellRecord, { kind: 'renew' }>,
    sendCopy: (copy: { task: string; run: number; worker: string }, isEffective: boolean) => void,
  ): void {
    for (const [task, run, worker] of copies ?? []) {
      const recorded = this.options.context.state.copies.running.get(task);
      const isEffective = recorded?.run === run && recorded.worker === worker;
      const proposed = this.proposed.get(task);
      this.proposed.delete(task);
      if (isEffective && proposed !== undefined) this.copyRuns.handleCopy(task, proposed);
      sendCopy({ task, run, worker }, isEffective);
    }
  }

  /** Learns from the end of a run as its worker reports it. */
  recordEnd(trackedRun: TrackedRun, how: RunEnd): void {
    const { task, isTimed, phase, estimateMs, startSettledAtMs, mayHaveCopy } = trackedRun;
    if (how !== RunEnd.done || !mayHaveCopy || !isTimed || phase !== 'running') return;
    const group = this.findGroup(trackedRun);
    if (group === undefined || estimateMs <= 0) return;
    const durationMs = this.options.context.clock.monotonicMs() - startSettledAtMs;
    const normalMs = durationMs * (this.speedOf(trackedRun) ?? 1);
    this.runTimes.record({ step: stepKeyOf(task), group, estimateMs }, normalMs);
  }

  /** Lists the runs for which a copy at the usual speed may be worthwhile, those with the most remaining time first. */
  private listCandidates(nowMs: number): Candidate[] {
    const runsByStep = new Map<string, TrackedRun[]>();
    for (const trackedRun of this.options.context.runs.list()) {
      if (!isProjectable(trackedRun)) continue;
      const key = stepKeyOf(trackedRun.task);
      const siblings = runsByStep.get(key);
      if (siblings === undefined) runsByStep.set(key, [trackedRun]);
      else siblings.push(trackedRun);
    }
    const candidates: Candidate[] = [];
    for (const siblings of runsByStep.values()) {
      const typicalMs = this.computeTypicalMs(siblings);
      if (typicalMs === undefined) continue;
      for (const trackedRun of siblings) {
        const remainingMs = trackedRun.startSettledAtMs + projectMs(trackedRun) - nowMs;
        // The checks below are too expensive for each run.
        if (trackedRun.isCopy || remainingMs < typicalMs / MAX_SPEED) continue;
        const slowRun = this.describeRun(trackedRun, typicalMs, nowMs);
        if (slowRun !== undefined && computeCopyGain(slowRun, MAX_SPEED) !== undefined)
          candidates.push({ trackedRun, slowRun });
      }
    }
    return candidates.sort((left, right) => right.slowRun.remainingMs - left.slowRun.remainingMs);
  }

  /** Returns the usual duration in ms of the runs of a step at speed 1; undefined while it is unknown. */
  private computeTypicalMs(runs: readonly TrackedRun[]): number | undefined {
    const [first] = runs;
    const group = first && this.findGroup(first);
    if (first === undefined || group === undefined) return undefined;
    return this.runTimes.typicalMs(
      { step: stepKeyOf(first.task), group, estimateMs: first.estimateMs },
      runs.map((trackedRun) => projectMs(trackedRun) * (this.speedOf(trackedRun) ?? 1)),
    );
  }

  private describeRun(
    trackedRun: TrackedRun,
    typicalMs: number,
    nowMs: number,
  ): SlowRun | undefined {
    const { task, startSettledAtMs } = trackedRun;
    const group = this.findGroup(trackedRun);
    if (group === undefined || !this.outcomes.mayCopy(group, nowMs)) return undefined;
    if (!this.mayHaveCopy(trackedRun)) return undefined;
    const valueEndsInMs = this.computeValueEndsInMs(task);
    if (valueEndsInMs === undefined) return undefined;
    return {
      elapsedMs: nowMs - startSettledAtMs,
      remainingMs: startSettledAtMs + projectMs(trackedRun) - nowMs,
      typicalMs,
      speed: this.speedOf(trackedRun),
      hasTails: this.runTimes.hasTails(group),
      valueEndsInMs,
    };
  }

  /** True for the current run of a task that has had no copy beside it and may have one. */
  private mayHaveCopy({ task, run, stopSentAtMs, isStalled, charge, team }: TrackedRun): boolean {
    const { state, proposals, runs } = this.options.context;
    if (stopSentAtMs > 0 || isStalled) return false;
    const entry = state.findTask(task);
    if (entry?.task.phase !== 'placed' || entry.task.run !== run) return false;
    if ((entry.task.copyRun ?? 0) > run || state.copies.failed.has(task)) return false;
    if (runs.getCopy(task) !== undefined || proposals.workerOf(task) !== undefined) return false;
    if (proposals.hasRunEnd(task, run)) return false;
    // Both runs may fail, and each failure counts.
    if (entry.task.failures + 2 > entry.progress.job.queue.maxAttempts) return false;
    return hasQuotaFor(this.options.context, team, charge);
  }

  /** Decides on the copy of a run; returns its place in the record, or undefined when no worker is suitable. */
  private tryCopy(
    { trackedRun, slowRun }: Candidate,
    slowWorkers: ReadonlySet<string>,
  ): [task: string, run: number, worker: string] | undefined {
    const { context, listWaitingSteps } = this.options;
    const { task, run, demand, team, charge, kind, image, estimateMs } = trackedRun;
    const entry = context.state.findTask(task);
    const group = this.findGroup(trackedRun);
    // An earlier copy of this round may have used the rest of the quota.
    if (entry === undefined || group === undefined || !hasQuotaFor(context, team, charge))
      return undefined;
    const target = findCopyTarget({
      context,
      trackedRun,
      slowWorkers,
      waitingSteps: listWaitingSteps(),
      gainOn: (speed) => computeCopyGain(slowRun, speed),
    });
    if (target === undefined) return undefined;
    const copyRun = Math.max(run, entry.task.copyRun ?? 0) + 1;
    const decidedAt = Instant.create(context.clock);
    context.proposals.addStart(task, {
      ...{ worker: target.id, run: copyRun, demand, team, charge, kind, image, decidedAt },
    });
    const expectedMs = (slowRun.elapsedMs + slowRun.remainingMs) * (slowRun.speed ?? 1);
    this.proposed.set(task, { run: copyRun, group, estimateMs, expectedMs });
    context.log('info', 'copy-decided', {
      task,
      run: copyRun,
      worker: target.id,
      slowOn: trackedRun.worker,
      remainingMs: Math.round(slowRun.remainingMs),
      typicalMs: Math.round(slowRun.typicalMs),
      gainMs: Math.round(target.gainMs),
    });
    return [task, copyRun, target.id];
  }

  private learn({ group, estimateMs, expectedMs }: UndecidedCopy, isWin: boolean): void {
    if (group === undefined) return;
    const { clock, log } = this.options.context;
    if (isWin) this.runTimes.recordOvertaken({ group, estimateMs }, expectedMs);
    if (this.outcomes.record(group, isWin, clock.monotonicMs()))
      log('info', 'copies-paused', { group });
  }

  /** Returns the image of a run, or the queue of one without an image; undefined when its job has ended. */
  private findGroup({ task, image }: TrackedRun): string | undefined {
    if (image !== '') return image;
    const entry = this.options.context.state.findTask(task);
    return entry && `queue ${entry.progress.job.queue.name}`;
  }

  private speedOf({ worker, born }: TrackedRun): number | undefined {
    return this.options.context.workerHealth.speeds.speedOf(worker, born);
  }

  /** Returns the time in ms until the job loses its value, less the expected time of the steps after this one. */
  private computeValueEndsInMs(task: string): number | undefined {
    const { state, clock } = this.options.context;
    const ref = taskName.parse(task);
    const job = ref && state.jobs.get(ref.job)?.job;
    const step = job?.steps[ref?.step ?? 0];
    if (ref === undefined || job === undefined || step === undefined) return undefined;
    const dueWallMs = job.firstRunMs === 0 ? 0 : job.firstRunMs + ref.occurrence * job.intervalMs;
    const ageMs = Math.max(0, clock.wallMs() - Math.max(dueWallMs, job.receivedMs));
    const laterMs = Math.max(0, (computeCriticalPaths(job)[ref.step] ?? 0) - step.estimateMs);
    return lateFactor * computeObjectiveMs(job) - ageMs - laterMs;
  }
}

/** Returns whether the duration of a run can be projected: this owner has seen its start, and it reports progress. */
function isProjectable({ mayHaveCopy, phase, isTimed, percent }: TrackedRun): boolean {
  return mayHaveCopy && phase === 'running' && isTimed && percent >= MIN_PERCENT && percent < 100;
}

/** Returns the duration in ms of a run that follows from its progress. */
function projectMs({ lastProgressAtMs, startSettledAtMs, percent }: TrackedRun): number {
  return ((lastProgressAtMs - startSettledAtMs) * 100) / percent;
}

function stepKeyOf(task: string): string {
  return task.slice(0, task.lastIndexOf('.'));
}
