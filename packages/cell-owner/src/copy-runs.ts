import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { taskName } from '@acaciahoist/cell-state/task-name';
import type { OwnerContext } from './owner-context.js';
import type { TrackedRun } from './tracked-run.js';
import type { UndecidedCopy } from './undecided-copy.js';

interface Options {
  context: OwnerContext;
  /** Called when it is known whether a copy was done before the first run. */
  onOutcome: (copy: UndecidedCopy, isWin: boolean) => void;
}

/** Records what becomes of the second runs of tasks, and stops the runs that are no longer needed. */
export class CopyRuns {
  static create(options: Options): CopyRuns {
    return new CopyRuns(options);
  }

  /** Copies of which it is not known yet whether they are done first, by task. */
  private readonly undecided = new Map<string, UndecidedCopy>();
  /** Tasks whose copy is being recorded as the current run. */
  private readonly promoting = new Set<string>();
  /** Failures of copies that are being counted, as `task/run`. */
  private readonly settling = new Set<string>();

  private constructor(private readonly options: Options) {
    const { runs, state } = options.context;
    for (const { task, run } of runs.listCopies())
      if (state.findTask(task)?.task.phase === 'placed')
        this.undecided.set(task, { run, group: undefined, estimateMs: 0, expectedMs: 0 });
  }

  /** Handles the record of a copy that is effective. */
  handleCopy(task: string, copy: UndecidedCopy): void {
    this.undecided.set(task, copy);
  }

  /**
   * Handles the record of a start before it is sent. Returns true when it is not to be sent: a copy takes the place of
   * the first run, or the failure of one is counted.
   */
  handleStart(record: Extract<CellRecord, { kind: 'start' }>, isEffective: boolean): boolean {
    const { task, run, worker } = record;
    const { runs, count } = this.options.context;
    this.promoting.delete(task);
    if (this.settling.has(`${task}/${run}`)) return true;
    const copy = runs.getCopy(task);
    if (!isEffective || copy?.run !== run || copy.worker !== worker) return false;
    runs.setCopy(copy, false);
    if (this.undecided.delete(task)) count('copies_promoted_total');
    return true;
  }

  /** Returns the records of the end of a run. */
  createEndRecords(
    { task, run, worker, checkpoint, isCopy }: TrackedRun,
    how: RunEnd,
  ): CellRecord[] {
    const { state, proposals } = this.options.context;
    const end = { kind: 'end', task, saved: checkpoint } as const;
    // A predecessor has recorded the start that counts the failure of the copy, and not its end.
    if (!isCopy && state.copies.failed.get(task)?.run === run)
      return [{ ...end, run, how: RunEnd.failed }];
    const current = state.findTask(task)?.task;
    if (!isCopy || how !== RunEnd.done || current === undefined || current.phase === 'done')
      return [{ ...end, run, how }];
    if (current.phase === 'placed' && !proposals.hasRunEnd(task, current.run))
      return [{ ...end, run: current.run, how, copy: run }];
    // The current run has ended or ends otherwise: the copy takes its place, unless the task is done by then.
    return [
      { kind: 'start', task, run, worker },
      { ...end, run, how },
    ];
  }

  /** Handles the record of a run end after the run was removed from the table. Returns true if it counts a failed copy. */
  handleEnd(record: Extract<CellRecord, { kind: 'end' }>): boolean {
    const { task, run, copy } = record;
    const undecided = this.undecided.get(task);
    if (undecided !== undefined) {
      if (copy === undecided.run) this.decide(task, undecided, true);
      else if (run === undecided.run || record.how === RunEnd.done)
        this.decide(task, undecided, false);
    }
    if (copy !== undefined) this.stopOvertakenRun(task, run);
    const isSettled = this.settling.delete(`${task}/${run}`);
    this.advance();
    return isSettled;
  }

  /** Stops the copies of a job that has ended. */
  handleJobEnd(job: string): void {
    const { runs, sessions, sendStop } = this.options.context;
    for (const copy of runs.listCopies()) {
      if (taskName.jobOf(copy.task) !== job) continue;
      this.undecided.delete(copy.task);
      const session = sessions.get(copy.worker);
      if (session !== undefined) sendStop(session, copy);
    }
  }

  /**
   * Makes a copy the current run where the first run has ended without success, and counts the failures of copies whose
   * first run has.
   */
  advance(): void {
    const { state, runs, proposals, append } = this.options.context;
    for (const { task, run, worker } of runs.listCopies()) {
      if (state.findTask(task)?.task.phase !== 'waiting') continue;
      if (this.promoting.has(task) || proposals.hasRunEnd(task, run)) continue;
      this.promoting.add(task);
      append([{ kind: 'start', task, run, worker }]);
    }
    for (const [task, { run, worker }] of state.copies.failed) {
      if (state.findTask(task)?.task.phase !== 'waiting' || !proposals.addRunEnd(task, run))
        continue;
      this.settling.add(`${task}/${run}`);
      append([
        { kind: 'start', task, run, worker },
        { kind: 'end', task, run, how: RunEnd.failed, saved: '' },
      ]);
    }
  }

  private decide(task: string, copy: UndecidedCopy, isWin: boolean): void {
    this.undecided.delete(task);
    this.options.context.count(isWin ? 'copies_won_total' : 'copies_lost_total');
    this.options.onOutcome(copy, isWin);
  }

  /** Stops the run whose copy is done; it is the second run of its task until it ends. */
  private stopOvertakenRun(task: string, run: number): void {
    const { runs, state, sessions, sendStop } = this.options.context;
    const overtaken = runs.get(task);
    if (overtaken?.run !== run || state.copies.running.get(task)?.run !== run) return;
    runs.setCopy(overtaken, true);
    const session = sessions.get(overtaken.worker);
    if (session !== undefined) sendStop(session, overtaken);
  }
}
