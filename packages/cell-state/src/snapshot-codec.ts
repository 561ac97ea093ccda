import { Packr } from 'msgpackr';
import { findShapeError } from '@acaciahoist/types/find-shape-error';
import type { CellOwnerClaim } from './cell-owner-claim.js';
import type { EndedJob } from './ended-job.js';
import type { FailedCopy } from './failed-copy.js';
import { CellState } from './cell-state.js';
import type { JobProgress } from './job-progress.js';
import type { LeftoverRun } from './leftover-run.js';
import type { RecordedStall } from './recorded-stall.js';
import { snapshotShape } from './snapshot-shape.js';

// With `useRecords`, a snapshot holds each set of field names once. Earlier versions wrote maps
// that hold the names in every object; unpacking reads both.
const packr = new Packr({ useRecords: true, mapsAsObjects: true });

interface SnapshotContent {
  nextOffset: number;
  logTimeMs: number;
  /** Absent in snapshots of earlier versions, as is `retainedFromMs` of ended jobs. */
  cellTimeMs?: number;
  termStartMs?: number;
  claim: CellOwnerClaim | null;
  /**
   * Incarnations of workers. Absent in snapshots of earlier versions, as is `born` of tasks and
   * leftover runs.
   */
  lives?: [string, number][];
  /** Absent when they may be incomplete, and in snapshots of earlier versions. */
  leaseEnds?: [string, number][];
  /** Second runs of tasks. Absent when they may be incomplete, and in snapshots of earlier versions. */
  copies?: {
    running: [string, LeftoverRun][];
    failed: [string, FailedCopy][];
    allowedFromMs: number;
  };
  /** Runs without progress. Absent in snapshots of earlier versions. */
  stalls?: [string, RecordedStall][];
  jobs: JobProgress[];
  ended: {
    id: string;
    outcome: EndedJob['outcome'];
    endedMs: number;
    /** Null for a job that ended after the last time that an owner had recorded. */
    retainedFromMs?: number | null;
    leftovers: [string, LeftoverRun][];
  }[];
  /** Ids that were cancelled before any job of that id. Absent in snapshots of earlier versions. */
  cancelledIds?: (readonly [id: string, retainedFromMs: number | null])[];
}

/** Encodes and decodes the whole state of a cell. */
export const snapshotCodec = {
  encode(state: CellState): Uint8Array {
    const content: SnapshotContent = {
      nextOffset: state.nextOffset,
      logTimeMs: state.logTimeMs,
      cellTimeMs: state.cellTimeMs,
      termStartMs: state.termStartMs,
      claim: state.claim ?? null,
      lives: [...state.incarnations],
      ...(state.leaseEnds.isComplete ? { leaseEnds: state.leaseEnds.list() } : {}),
      ...(state.copies.isComplete ? { copies: listCopies(state) } : {}),
      stalls: state.stalls.list(),
      jobs: [...state.jobs.values()],
      ended: [...state.ended].map(([id, job]) => ({
        id,
        outcome: job.outcome,
        endedMs: job.endedMs,
        retainedFromMs: job.retainedFromMs ?? null,
        leftovers: [...job.leftovers],
      })),
      cancelledIds: state.cancelledIds.list(),
    };
    return packr.pack(content);
  },

  /** Throws for bytes that are not a snapshot. */
  decode(data: Uint8Array, retentionMs: number): CellState {
    const value: unknown = packr.unpack(data);
    const shapeError = findShapeError(snapshotShape, value, 'snapshot');
    if (shapeError !== undefined) throw new Error(shapeError);
    const content = value as SnapshotContent;
    const state = CellState.create(retentionMs);
    state.nextOffset = content.nextOffset;
    state.logTimeMs = content.logTimeMs;
    state.cellTimeMs = content.cellTimeMs ?? 0;
    state.termStartMs = content.termStartMs ?? 0;
    state.claim = content.claim ?? undefined;
    for (const [worker, born] of content.lives ?? []) state.incarnations.set(worker, born);
    state.leaseEnds.isComplete = content.leaseEnds !== undefined;
    for (const [worker, expireAtMs] of content.leaseEnds ?? [])
      state.leaseEnds.set(worker, expireAtMs);
    state.copies.isComplete = content.copies !== undefined;
    for (const [task, run] of content.copies?.running ?? []) state.copies.running.set(task, run);
    for (const [task, copy] of content.copies?.failed ?? []) state.copies.failed.set(task, copy);
    state.copies.allowedFromMs = content.copies?.allowedFromMs ?? 0;
    for (const [task, stall] of content.stalls ?? []) state.stalls.set(task, stall);
    for (const progress of content.jobs) {
      for (const steps of progress.occurrences)
        for (const step of steps) for (const task of step.tasks) fillMissingIncarnation(task);
      if (content.lives === undefined) progress.begun = hasReportedEnd(progress);
      state.addJob(progress);
    }
    for (const { id, outcome, endedMs, retainedFromMs, leftovers } of content.ended) {
      for (const [, run] of leftovers) fillMissingIncarnation(run);
      state.addEndedJob(id, {
        outcome,
        endedMs,
        endOffset: content.nextOffset - 1,
        // Without it the retention time starts again, since times of earlier versions may be too early.
        retainedFromMs: retainedFromMs ?? undefined,
        leftovers: new Map(leftovers),
      });
    }
    for (const [id, retainedFromMs] of content.cancelledIds ?? [])
      state.cancelledIds.add(id, content.nextOffset - 1, retainedFromMs ?? undefined);
    return state;
  },
};

function listCopies({ copies }: CellState): NonNullable<SnapshotContent['copies']> {
  return {
    running: [...copies.running],
    failed: [...copies.failed],
    allowedFromMs: copies.allowedFromMs,
  };
}

/**
 * Returns whether a run of the job is recorded as done or failed, which shows that the job has
 * begun. Earlier versions set `begun` when a start was recorded, so their value is not used. Other
 * jobs that have begun are recognized again by the lists of runs that workers report.
 */
function hasReportedEnd(progress: JobProgress): boolean {
  return progress.occurrences.some((steps) =>
    steps.some((step) => step.done > 0 || step.gangFailures > 0),
  );
}

/**
 * Sets `born` to 0, for an incarnation that is not known, in a run that an earlier version
 * recorded.
 */
function fillMissingIncarnation(run: { born?: number }): void {
  run.born ??= 0;
}
