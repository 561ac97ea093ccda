import { explainWait } from '@acaciahoist/cell-planner/explain-wait';
import type { PlannedTeams } from '@acaciahoist/cell-planner/planned-teams';
import type { PlannedWorker } from '@acaciahoist/cell-planner/planned-worker';
import type { ReadyStep } from '@acaciahoist/cell-planner/ready-step';
import type { RoundBudget } from '@acaciahoist/cell-planner/round-budget';
import { WaitReason } from '@acaciahoist/cell-planner/wait-reason';
import type { JobProgress } from '@acaciahoist/cell-state/job-progress';
import type { StepProgress } from '@acaciahoist/cell-state/step-progress';
import type { JobExplanation } from './job-explanation.js';
import { computeMaxStartAge } from './compute-max-start-age.js';
import type { OwnerContext } from './owner-context.js';
import type { StepExplanation } from './step-explanation.js';
import { waitTexts } from './wait-texts.js';

/** Limit on the answer for a job with many steps or occurrences. */
const MAX_STEPS = 20;

interface Options {
  progress: JobProgress;
  context: Pick<OwnerContext, 'clock' | 'lastAppendAgeMs' | 'proposals' | 'runs'>;
  /** Ready steps of all jobs. */
  readySteps: readonly ReadyStep[];
  /** Lists the workers with their free capacity, which the caller may change. */
  listWorkers: () => PlannedWorker[];
  budget: RoundBudget;
  teams: PlannedTeams;
}

/** Explains from the state of the planner why a job that has not ended waits. Decides nothing. */
export function explainJob(options: Options): JobExplanation {
  const { progress, context } = options;
  const { job } = progress;
  const steps: StepExplanation[] = [];
  let leftOutSteps = 0;
  for (const [occurrence, stepProgresses] of progress.occurrences.entries()) {
    const dueWallMs = job.firstRunMs === 0 ? 0 : job.firstRunMs + occurrence * job.intervalMs;
    const dueInMs = dueWallMs - context.clock.wallMs();
    if (dueInMs > 0) {
      steps.push({
        step: `${job.id}.${occurrence}`,
        waits: WaitReason.notDue,
        dueInMs: Math.round(dueInMs),
      });
      break;
    }
    for (const [index, stepProgress] of stepProgresses.entries()) {
      if (stepProgress.done === stepProgress.tasks.length) continue;
      if (steps.length < MAX_STEPS)
        steps.push(explainStep(options, stepProgresses, stepProgress, occurrence, index));
      else leftOutSteps += 1;
    }
  }
  const [firstStep] = steps;
  const waitingStep = steps.find(({ waits }) => waits !== WaitReason.running) ?? firstStep;
  return {
    reason:
      waitingStep === undefined
        ? 'all its tasks are done'
        : `${waitingStep.step}: ${waitTexts[waitingStep.waits]}`,
    job: job.id,
    queue: job.queue.name,
    priority: job.queue.priority,
    steps,
    leftOutSteps,
  };
}

function explainStep(
  options: Options,
  stepProgresses: readonly StepProgress[],
  stepProgress: StepProgress,
  occurrence: number,
  index: number,
): StepExplanation {
  const { progress, context, readySteps } = options;
  const { proposals, runs, clock } = context;
  const step = `${progress.job.id}.${occurrence}.${index}`;
  const definition = progress.job.steps[index];
  const taskNames = stepProgress.tasks.map((_, taskIndex) => `${step}.${taskIndex}`);
  const counts = {
    step,
    tasks: stepProgress.tasks.length,
    done: stepProgress.done,
    placed: stepProgress.placed,
  };
  const after = (definition?.after ?? []).filter((dependency) => {
    const dependencyProgress = stepProgresses[dependency];
    return dependencyProgress?.done !== dependencyProgress?.tasks.length;
  });
  if (after.length > 0) return { ...counts, waits: WaitReason.earlierSteps, after };

  const nowMs = clock.monotonicMs();
  const oldestStartAgeMs = Math.round(proposals.oldestStartAgeMs());
  const readyStep = readySteps.find(({ key }) => key === step);
  if (readyStep !== undefined) {
    const waited = { ...counts, waitedMs: Math.round(nowMs - readyStep.dueMs) };
    if (oldestStartAgeMs > computeMaxStartAge(options.context.lastAppendAgeMs()))
      return { ...waited, waits: WaitReason.storeUnavailable, oldestStartAgeMs };
    const { reason, ...numbers } = explainWait(
      readyStep,
      readySteps,
      options.listWorkers(),
      nowMs,
      options.budget,
      options.teams,
    );
    return { ...waited, waits: reason, ...numbers };
  }
  if (taskNames.some((task) => proposals.workerOf(task) !== undefined))
    return { ...counts, waits: WaitReason.startBeingRecorded, oldestStartAgeMs };
  const isPartOfGangLeft =
    definition?.gang === true &&
    stepProgress.done + stepProgress.placed < stepProgress.tasks.length;
  if (isPartOfGangLeft) return { ...counts, waits: WaitReason.gangEnds };
  const placedRuns = taskNames.map((task) => runs.get(task)).filter((run) => run !== undefined);
  const isConfirmed = placedRuns.every(({ phase }) => phase === 'running');
  return {
    ...counts,
    waits: isConfirmed ? WaitReason.running : WaitReason.startUnconfirmed,
    onWorkers: [...new Set(placedRuns.map(({ worker }) => worker))],
  };
}
