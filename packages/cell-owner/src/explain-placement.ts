import { planCell } from '@acaciahoist/cell-planner';
import { chooseNamedWorkers } from '@acaciahoist/cell-planner/choose-named-workers';
import { computeDemand } from '@acaciahoist/cell-planner/compute-demand';
import { explainWait } from '@acaciahoist/cell-planner/explain-wait';
import type { Plan } from '@acaciahoist/cell-planner/plan';
import type { PlannedTeams } from '@acaciahoist/cell-planner/planned-teams';
import type { PlannedWorker } from '@acaciahoist/cell-planner/planned-worker';
import type { ReadyStep } from '@acaciahoist/cell-planner/ready-step';
import type { ReservationWaits } from '@acaciahoist/cell-planner/reservation-waits';
import type { RoundBudget } from '@acaciahoist/cell-planner/round-budget';
import { WaitReason } from '@acaciahoist/cell-planner/wait-reason';
import { WorkerIndex } from '@acaciahoist/cell-planner/worker-index';
import { createOccurrence } from '@acaciahoist/cell-state/create-occurrence';
import type { CellJob } from '@acaciahoist/cell-types';
import { TaskCopies } from '@acaciahoist/cell-state/task-copies';
import type { CellStep } from '@acaciahoist/cell-types/cell-step';
import type { Clock } from '@acaciahoist/clock';
import { computeMaxStartAge } from './compute-max-start-age.js';
import type { PlacementExplanation } from './placement-explanation.js';
import { ReadyStepIndex } from './ready-step-index.js';
import type { StepPlacement } from './step-placement.js';
import { waitTexts } from './wait-texts.js';

/** Limit on the answer for a job with many steps or occurrences. */
const MAX_STEPS = 20;
/** Limit on the cost of the round: a scheduled job may have ten thousand occurrences that are due. */
const MAX_OCCURRENCES = 20;

interface Options {
  /** A job that is not in the log. */
  job: CellJob;
  /** Whether the job would be an excess job of its team. */
  isExcess: boolean;
  clock: Clock;
  /** Age in ms of the oldest decided start whose record is not applied. */
  oldestStartAgeMs: number;
  /** Age in ms of the newest acknowledged append. */
  lastAppendAgeMs: number;
  /** Ready steps of all jobs in the log. */
  readySteps: readonly ReadyStep[];
  /** Lists the workers with their free capacity, which the caller may change. */
  listWorkers: () => PlannedWorker[];
  budget: RoundBudget;
  teams: PlannedTeams;
  /** Waits for reservations in the last round. */
  formerWaits: ReservationWaits;
}

/** What the explanations of all steps of the job need. */
interface Round {
  plan: Plan;
  steps: readonly ReadyStep[];
  /** The workers before the round. */
  workers: readonly PlannedWorker[];
  nowMs: number;
}

/**
 * Explains where the tasks of a job would go in a planning round now, together with all steps that wait. Records
 * nothing, requests no advice and keeps nothing of the job.
 */
export function explainPlacement(options: Options): PlacementExplanation {
  const { job, clock, readySteps, listWorkers, budget, teams, formerWaits } = options;
  const nowMs = clock.monotonicMs();
  const occurrenceCount = Math.min(job.occurrences, MAX_OCCURRENCES);
  const steps = [...readySteps, ...listOwnSteps(options, occurrenceCount)];
  const round: Round = {
    plan: planCell(steps, listWorkers(), nowMs, budget, teams, formerWaits),
    steps,
    workers: listWorkers(),
    nowMs,
  };
  const placements: StepPlacement[] = [];
  let leftOutSteps = 0;
  for (let occurrence = 0; occurrence < occurrenceCount; occurrence += 1) {
    const dueWallMs = job.firstRunMs === 0 ? 0 : job.firstRunMs + occurrence * job.intervalMs;
    const dueInMs = Math.round(dueWallMs - clock.wallMs());
    if (dueInMs > 0) {
      const step = `${job.id}.${occurrence}`;
      placements.push(describe({ step, waits: WaitReason.notDue, dueInMs }));
      break;
    }
    for (const [index, step] of job.steps.entries())
      if (placements.length < MAX_STEPS)
        placements.push(
          describe(explainStep(options, round, `${job.id}.${occurrence}.${index}`, step)),
        );
      else leftOutSteps += 1;
  }
  const [first] = placements;
  return {
    reason: first === undefined ? 'the job has no steps' : `${first.step}: ${first.reason}`,
    queue: job.queue.name,
    priority: job.queue.priority,
    ...(job.team === undefined ? {} : { team: job.team }),
    steps: placements,
    leftOutSteps,
  };
}

/** Lists the ready steps of the job as the owner would list them if the log had the job. */
function listOwnSteps(
  { job, isExcess, clock }: Pick<Options, 'job' | 'isExcess' | 'clock'>,
  occurrenceCount: number,
): ReadyStep[] {
  const occurrences = Array.from({ length: occurrenceCount }, () => createOccurrence(job));
  const progress = { job, offset: 0, occurrences, begun: false };
  return ReadyStepIndex.create({
    state: { jobs: new Map([[job.id, progress]]), copies: TaskCopies.create() },
    proposedWorker: () => undefined,
    adviceFor: () => ({
      allowed: new Map(),
      denied: new Set(),
      isOutstanding: false,
      isAnswered: false,
    }),
    addArrival: () => isExcess,
  }).list({ wallMs: clock.wallMs(), monotonicMs: clock.monotonicMs() });
}

function explainStep(
  { oldestStartAgeMs, lastAppendAgeMs, budget, teams }: Options,
  { plan, steps, workers, nowMs }: Round,
  key: string,
  { count, after }: CellStep,
): Omit<StepPlacement, 'reason'> {
  const readyStep = steps.find((candidate) => candidate.key === key);
  if (readyStep === undefined)
    return { step: key, tasks: count, waits: WaitReason.earlierSteps, after };
  if (oldestStartAgeMs > computeMaxStartAge(lastAppendAgeMs))
    return {
      step: key,
      tasks: count,
      waits: WaitReason.storeUnavailable,
      oldestStartAgeMs: Math.round(oldestStartAgeMs),
    };
  const { reason, ...figures } = explainWait(
    readyStep,
    steps,
    workers,
    nowMs,
    budget,
    teams,
    () => plan,
  );
  const placement = { step: key, tasks: count, waits: reason, ...figures };
  if (reason === WaitReason.startsNext) return { ...placement, starts: countStarts(plan, key) };
  if (reason !== WaitReason.waitsForAdvice) return placement;
  const request = plan.adviceRequests.find((candidate) => candidate.key === key);
  // Without a free lane the request follows in a later round.
  const namedWorkers =
    request?.workers ??
    chooseNamedWorkers(readyStep, computeDemand(readyStep.step), WorkerIndex.create(workers));
  return { ...placement, namedWorkers };
}

/** Counts the planned starts of a step by worker, in the order of the plan. */
function countStarts(plan: Plan, key: string): { worker: string; tasks: number }[] {
  const counts = new Map<string, number>();
  for (const start of plan.starts)
    if (start.key === key) counts.set(start.worker, (counts.get(start.worker) ?? 0) + 1);
  return [...counts].map(([worker, tasks]) => ({ worker, tasks }));
}

/** Adds the sentence about a step. */
function describe(placement: Omit<StepPlacement, 'reason'>): StepPlacement {
  const { waits, tasks, starts, namedWorkers } = placement;
  if (starts !== undefined) {
    const started = starts.reduce((sum, start) => sum + start.tasks, 0);
    return { reason: `${started} of ${tasks ?? started} tasks would start now`, ...placement };
  }
  const reason =
    namedWorkers === undefined
      ? waitTexts[waits]
      : `the advice service decides; the request would name ${namedWorkers.length} workers`;
  return { reason, ...placement };
}
