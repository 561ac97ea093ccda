import type { ReadyStep } from '@acaciahoist/cell-planner/ready-step';
import type { StepAdvice } from '@acaciahoist/cell-planner/step-advice';
import type { CellState } from '@acaciahoist/cell-state';
import type { JobProgress } from '@acaciahoist/cell-state/job-progress';
import type { StepProgress } from '@acaciahoist/cell-state/step-progress';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { chainOf } from './chain-of.js';

interface Options {
  state: CellState;
  wallMs: number;
  nowMs: number;
  /** Worker of a task whose start is decided and not yet recorded. */
  proposedWorker: (task: string) => string | undefined;
  adviceFor: (step: string) => StepAdvice;
}

/** Lists the steps whose turn has come and that have tasks to start. */
export function listReadySteps(options: Options): ReadyStep[] {
  const ready: ReadyStep[] = [];
  for (const progress of options.state.jobs.values()) listJob(progress, options, ready);
  return ready;
}

function listJob(progress: JobProgress, options: Options, ready: ReadyStep[]): void {
  const { job } = progress;
  progress.occurrences.forEach((steps, occurrence) => {
    const dueMs = job.firstRunMs === 0 ? 0 : job.firstRunMs + occurrence * job.intervalMs;
    if (dueMs > options.wallMs) return;
    steps.forEach((entry, index) => {
      if (entry.done + entry.placed >= entry.tasks.length) return;
      const found = toReadyStep(progress, occurrence, index, entry, dueMs, options);
      if (found !== undefined) ready.push(found);
    });
  });
}

function toReadyStep(
  progress: JobProgress,
  occurrence: number,
  index: number,
  entry: StepProgress,
  dueMs: number,
  options: Options,
): ReadyStep | undefined {
  const { job } = progress;
  const step = job.steps[index];
  const steps = progress.occurrences[occurrence];
  if (step === undefined || steps === undefined) return undefined;
  const isOpen = step.after.every((before) => {
    const earlier = steps[before];
    return earlier !== undefined && earlier.done === earlier.tasks.length;
  });
  // A gang starts anew only when no member of its last run is left.
  if (!isOpen || (step.gang && entry.placed > 0)) return undefined;
  const waiting: number[] = [];
  const placedOn = new Map<string, number>();
  const failedOn = new Map<number, string>();
  entry.tasks.forEach((task, taskIndex) => {
    const name = taskName.format({ job: job.id, occurrence, step: index, index: taskIndex });
    const worker = task.phase === 'placed' ? task.worker : options.proposedWorker(name);
    if (task.failures > 0) failedOn.set(taskIndex, task.worker);
    if (task.phase === 'waiting' && worker === undefined) waiting.push(taskIndex);
    else if (worker !== undefined) placedOn.set(worker, (placedOn.get(worker) ?? 0) + 1);
  });
  if (waiting.length === 0 || (step.gang && waiting.length < step.count)) return undefined;
  const key = `${job.id}.${occurrence}.${index}`;
  const chain = chainOf(job);
  // Unix times of other processes become monotonic ones; a clock that is ahead counts as now.
  const ageMs = Math.max(0, options.wallMs - Math.max(dueMs, job.receivedMs));
  const sinceMs = options.nowMs - ageMs;
  const longestMs = Math.max(0, ...chain);
  return {
    key,
    queue: job.queue,
    step,
    waiting,
    placedOn,
    failedOn,
    sinceMs,
    objectiveMs: sinceMs + job.queue.stretch * longestMs + job.queue.baseMs,
    remainingMs: chain[index] ?? 0,
    advice: job.queue.advice === undefined ? undefined : options.adviceFor(key),
  };
}
