import type { FailedRuns } from '@acaciahoist/cell-planner/failed-runs';
import type { ReadyStep } from '@acaciahoist/cell-planner/ready-step';
import type { StepAdvice } from '@acaciahoist/cell-planner/step-advice';
import type { CellJob } from '@acaciahoist/cell-types';
import type { CellState } from '@acaciahoist/cell-state';
import type { JobProgress } from '@acaciahoist/cell-state/job-progress';
import type { StepProgress } from '@acaciahoist/cell-state/step-progress';
import { computeCriticalPaths } from './compute-critical-paths.js';

interface Options {
  state: Pick<CellState, 'jobs' | 'copies'>;
  /** Worker of a task whose start is decided and not yet recorded. */
  proposedWorker: (task: string) => string | undefined;
  adviceFor: (step: string) => StepAdvice;
  /** Counts the arrival of a job; returns whether it is beyond the rate of its team. Called in the order of the log. */
  addArrival: (job: CellJob) => boolean;
}

/** The current time on both clocks. */
interface CurrentTime {
  wallMs: number;
  monotonicMs: number;
}

/** Planning input of a job that is kept from one round to the next. */
interface IndexedJob {
  isExcess: boolean;
  readySteps: readonly ReadyStep[];
  /** For each step, the length in ms of the critical path from its start to the end of the job. */
  criticalPathsMs: readonly number[];
  /** Monotonic time at which each occurrence became due, as computed when it was first listed. */
  dueSinceMs: Map<number, number>;
  /**
   * Monotonic time since which a task that has failed waits to be started again, by its name and the number of its
   * newest run.
   */
  waitingSinceMs: ReadonlyMap<string, number>;
}

/** Times since which tasks that have failed wait: as computed before, and as they are computed now. */
interface WaitingSince {
  nowMs: number;
  former: ReadonlyMap<string, number>;
  current: Map<string, number>;
}

/**
 * Index of the steps whose dependencies are done and that have tasks to start. Load pattern: hundreds of
 * jobs, of which only a few change between two planning rounds. Only the changed ones are computed again.
 */
export class ReadyStepIndex {
  /** Creates an index in which all jobs of the state that have not ended count as changed. */
  static create(options: Options): ReadyStepIndex {
    const index = new ReadyStepIndex(options);
    for (const id of options.state.jobs.keys()) index.markChanged(id);
    return index;
  }

  private readonly indexedJobs = new Map<string, IndexedJob>();
  private readonly changedJobs = new Set<string>();
  /** Unix time at which the next occurrence of a job becomes due, by job. */
  private readonly nextDueWallMs = new Map<string, number>();

  private constructor(private readonly options: Options) {}

  /** Marks a job as changed: a record was applied, or a start was decided. */
  markChanged(job: string): void {
    this.changedJobs.add(job);
  }

  /**
   * Lists the ready steps of all jobs. Computes them again for jobs that have changed or are newly due.
   */
  list(now: CurrentTime): ReadyStep[] {
    for (const [job, dueWallMs] of this.nextDueWallMs)
      if (dueWallMs <= now.wallMs) this.changedJobs.add(job);
    for (const job of this.changedJobs) this.refresh(job, now);
    this.changedJobs.clear();
    const readySteps: ReadyStep[] = [];
    for (const indexedJob of this.indexedJobs.values()) readySteps.push(...indexedJob.readySteps);
    return readySteps;
  }

  private refresh(id: string, now: CurrentTime): void {
    this.nextDueWallMs.delete(id);
    const progress = this.options.state.jobs.get(id);
    if (progress === undefined) {
      this.indexedJobs.delete(id);
      return;
    }
    const previous = this.indexedJobs.get(id);
    const criticalPathsMs = previous?.criticalPathsMs ?? computeCriticalPaths(progress.job);
    const dueSinceMs = previous?.dueSinceMs ?? new Map<number, number>();
    const waitingSince: WaitingSince = {
      nowMs: now.monotonicMs,
      former: previous?.waitingSinceMs ?? new Map<string, number>(),
      current: new Map<string, number>(),
    };
    const isExcess = previous?.isExcess ?? this.options.addArrival(progress.job);
    const readySteps = this.listReadySteps(
      progress,
      isExcess,
      criticalPathsMs,
      dueSinceMs,
      waitingSince,
      now,
    );
    this.indexedJobs.set(id, {
      isExcess,
      readySteps,
      criticalPathsMs,
      dueSinceMs,
      waitingSinceMs: waitingSince.current,
    });
  }

  private listReadySteps(
    progress: JobProgress,
    isExcess: boolean,
    criticalPathsMs: readonly number[],
    dueSinceMs: Map<number, number>,
    waitingSince: WaitingSince,
    now: CurrentTime,
  ): ReadyStep[] {
    const { job } = progress;
    const readySteps: ReadyStep[] = [];
    for (const [occurrence, steps] of progress.occurrences.entries()) {
      const dueWallMs = job.firstRunMs === 0 ? 0 : job.firstRunMs + occurrence * job.intervalMs;
      if (dueWallMs > now.wallMs) {
        this.nextDueWallMs.set(job.id, dueWallMs);
        break;
      }
      let occurrenceDueSinceMs = dueSinceMs.get(occurrence);
      if (occurrenceDueSinceMs === undefined) {
        // Converts a Unix time, which another process may have recorded, to monotonic time. A time in the
        // future counts as the current one.
        const ageMs = Math.max(0, now.wallMs - Math.max(dueWallMs, job.receivedMs));
        dueSinceMs.set(occurrence, (occurrenceDueSinceMs = now.monotonicMs - ageMs));
      }
      for (const [index, stepProgress] of steps.entries()) {
        if (stepProgress.done + stepProgress.placed >= stepProgress.tasks.length) continue;
        const readyStep = this.toReadyStep(
          progress,
          isExcess,
          occurrence,
          index,
          stepProgress,
          criticalPathsMs,
          occurrenceDueSinceMs,
          waitingSince,
        );
        if (readyStep !== undefined) readySteps.push(readyStep);
      }
    }
    return readySteps;
  }

  /** Returns the worker of the second run of a task, a decided copy included; of a failed copy if the task waits. */
  private findSecondWorker(task: string, isWaiting: boolean): string | undefined {
    const { copies } = this.options.state;
    const second = copies.running.get(task)?.worker;
    if (second !== undefined) return second;
    return isWaiting ? copies.failed.get(task)?.worker : this.options.proposedWorker(task);
  }

  private toReadyStep(
    progress: JobProgress,
    isExcess: boolean,
    occurrence: number,
    index: number,
    stepProgress: StepProgress,
    criticalPathsMs: readonly number[],
    dueMs: number,
    waitingSince: WaitingSince,
  ): ReadyStep | undefined {
    const { job } = progress;
    const step = job.steps[index];
    const steps = progress.occurrences[occurrence];
    if (step === undefined || steps === undefined) return undefined;
    const isUnblocked = step.after.every((dependencyIndex) => {
      const dependency = steps[dependencyIndex];
      return dependency !== undefined && dependency.done === dependency.tasks.length;
    });
    // A gang starts again only when all members of its last run have ended.
    if (!isUnblocked || (step.gang && stepProgress.placed > 0)) return undefined;
    const key = `${job.id}.${occurrence}.${index}`;
    const waitingTasks: number[] = [];
    const tasksByWorker = new Map<string, number>();
    const failedRuns = new Map<number, FailedRuns>();
    for (const [taskIndex, task] of stepProgress.tasks.entries()) {
      const secondWorker = step.speculative
        ? this.findSecondWorker(`${key}.${taskIndex}`, task.phase === 'waiting')
        : undefined;
      // The copy of a task, and a run that continues after its copy was done, count on their workers too.
      if (secondWorker !== undefined)
        tasksByWorker.set(secondWorker, (tasksByWorker.get(secondWorker) ?? 0) + 1);
      if (task.phase === 'done') continue;
      // A copy takes the place of a first run that has ended, or its failure is counted before the next start.
      if (task.phase === 'waiting' && secondWorker !== undefined) continue;
      const worker =
        task.phase === 'placed' ? task.worker : this.options.proposedWorker(`${key}.${taskIndex}`);
      if (worker !== undefined) {
        tasksByWorker.set(worker, (tasksByWorker.get(worker) ?? 0) + 1);
        continue;
      }
      waitingTasks.push(taskIndex);
      if (task.failures === 0) continue;
      const runKey = `${key}.${taskIndex}/${task.run}`;
      const waitingSinceMs = waitingSince.former.get(runKey) ?? waitingSince.nowMs;
      waitingSince.current.set(runKey, waitingSinceMs);
      failedRuns.set(taskIndex, { workers: task.failedWorkers ?? [task.worker], waitingSinceMs });
    }
    if (waitingTasks.length === 0 || (step.gang && waitingTasks.length < step.count))
      return undefined;
    const jobCriticalPathMs = Math.max(0, ...criticalPathsMs);
    return {
      key,
      queue: job.queue,
      step,
      team: job.team,
      isExcess,
      waitingTasks,
      tasksByWorker,
      failedRuns,
      dueMs,
      objectiveAtMs: dueMs + job.queue.stretch * jobCriticalPathMs + job.queue.baseMs,
      remainingMs: criticalPathsMs[index] ?? 0,
      hasSuccessors: job.steps.some(({ after }) => after.includes(index)),
      advice: job.queue.advice === undefined ? undefined : this.options.adviceFor(key),
    };
  }
}
