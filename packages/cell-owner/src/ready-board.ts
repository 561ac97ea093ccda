import type { ReadyStep } from '@acaciahoist/cell-planner/ready-step';
import type { StepAdvice } from '@acaciahoist/cell-planner/step-advice';
import type { CellState } from '@acaciahoist/cell-state';
import type { JobProgress } from '@acaciahoist/cell-state/job-progress';
import type { StepProgress } from '@acaciahoist/cell-state/step-progress';
import { chainOf } from './chain-of.js';

interface Options {
  state: CellState;
  /** Worker of a task whose start is decided and not yet recorded. */
  proposedWorker: (task: string) => string | undefined;
  adviceFor: (step: string) => StepAdvice;
}

interface Now {
  wallMs: number;
  monotonicMs: number;
}

/** What is kept of a job between two rounds. */
interface Entry {
  ready: readonly ReadyStep[];
  /** Longest chain of work from each step on. */
  chain: readonly number[];
  /** Monotonic time at which each occurrence became due, as it was first seen. */
  sinceMs: Map<number, number>;
}

/**
 * The steps whose turn has come and that have tasks to start. Load pattern: hundreds of jobs of which a
 * few change between two planning rounds. Only jobs that were touched are looked at again.
 */
export class ReadyBoard {
  /** All live jobs of the state count as touched. */
  static create(options: Options): ReadyBoard {
    const board = new ReadyBoard(options);
    for (const id of options.state.jobs.keys()) board.touch(id);
    return board;
  }

  private readonly entries = new Map<string, Entry>();
  private readonly touched = new Set<string>();
  /** Unix time at which the next occurrence of a job becomes due, by job. */
  private readonly nextDueMs = new Map<string, number>();

  private constructor(private readonly options: Options) {}

  /** Something about the job changed: a record was applied, or a start was decided. */
  touch(job: string): void {
    this.touched.add(job);
  }

  list(now: Now): ReadyStep[] {
    for (const [job, dueMs] of this.nextDueMs) if (dueMs <= now.wallMs) this.touched.add(job);
    for (const job of this.touched) this.refresh(job, now);
    this.touched.clear();
    const ready: ReadyStep[] = [];
    for (const entry of this.entries.values()) ready.push(...entry.ready);
    return ready;
  }

  private refresh(id: string, now: Now): void {
    this.nextDueMs.delete(id);
    const progress = this.options.state.jobs.get(id);
    if (progress === undefined) {
      this.entries.delete(id);
      return;
    }
    const known = this.entries.get(id);
    const chain = known?.chain ?? chainOf(progress.job);
    const sinceMs = known?.sinceMs ?? new Map<number, number>();
    const ready = this.listJob(progress, chain, sinceMs, now);
    this.entries.set(id, { ready, chain, sinceMs });
  }

  private listJob(
    progress: JobProgress,
    chain: readonly number[],
    sinceMs: Map<number, number>,
    now: Now,
  ): ReadyStep[] {
    const { job } = progress;
    const ready: ReadyStep[] = [];
    for (const [occurrence, steps] of progress.occurrences.entries()) {
      const dueMs = job.firstRunMs === 0 ? 0 : job.firstRunMs + occurrence * job.intervalMs;
      if (dueMs > now.wallMs) {
        this.nextDueMs.set(job.id, dueMs);
        break;
      }
      let since = sinceMs.get(occurrence);
      if (since === undefined) {
        // Unix times of other processes become monotonic ones; a clock that is ahead counts as now.
        const ageMs = Math.max(0, now.wallMs - Math.max(dueMs, job.receivedMs));
        sinceMs.set(occurrence, (since = now.monotonicMs - ageMs));
      }
      for (const [index, entry] of steps.entries()) {
        if (entry.done + entry.placed >= entry.tasks.length) continue;
        const found = this.toReadyStep(progress, occurrence, index, entry, chain, since);
        if (found !== undefined) ready.push(found);
      }
    }
    return ready;
  }

  private toReadyStep(
    progress: JobProgress,
    occurrence: number,
    index: number,
    entry: StepProgress,
    chain: readonly number[],
    sinceMs: number,
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
    const key = `${job.id}.${occurrence}.${index}`;
    const waiting: number[] = [];
    const placedOn = new Map<string, number>();
    const failedOn = new Map<number, string>();
    for (const [taskIndex, task] of entry.tasks.entries()) {
      if (task.phase === 'done') continue;
      const worker =
        task.phase === 'placed' ? task.worker : this.options.proposedWorker(`${key}.${taskIndex}`);
      if (task.failures > 0) failedOn.set(taskIndex, task.worker);
      if (worker === undefined) waiting.push(taskIndex);
      else placedOn.set(worker, (placedOn.get(worker) ?? 0) + 1);
    }
    if (waiting.length === 0 || (step.gang && waiting.length < step.count)) return undefined;
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
      advice: job.queue.advice === undefined ? undefined : this.options.adviceFor(key),
    };
  }
}
