import { Packr } from 'msgpackr';
import type { CellOwnerClaim } from './cell-owner-claim.js';
import type { EndedJob } from './ended-job.js';
import { CellState } from './index.js';
import type { JobProgress } from './job-progress.js';
import type { LeftoverRun } from './leftover-run.js';

// Field names stand once in a snapshot. Maps with names, as former versions wrote them, are read too.
const packr = new Packr({ useRecords: true, mapsAsObjects: true });

interface SnapshotContent {
  nextOffset: number;
  logTimeMs: number;
  claim: CellOwnerClaim | null;
  /** Absent in snapshots of former versions, like `born` of tasks and leftover runs. */
  lives?: [string, number][];
  jobs: JobProgress[];
  ended: {
    id: string;
    outcome: EndedJob['outcome'];
    endedMs: number;
    leftovers: [string, LeftoverRun][];
  }[];
}

/** Encodes the whole state of a cell. */
export const snapshotCodec = {
  encode(state: CellState): Uint8Array {
    const content: SnapshotContent = {
      nextOffset: state.nextOffset,
      logTimeMs: state.logTimeMs,
      claim: state.claim ?? null,
      lives: [...state.lives],
      jobs: [...state.jobs.values()],
      ended: [...state.ended].map(([id, job]) => ({
        id,
        outcome: job.outcome,
        endedMs: job.endedMs,
        leftovers: [...job.leftovers],
      })),
    };
    return packr.pack(content);
  },

  decode(data: Uint8Array, retentionMs: number): CellState {
    const content = packr.unpack(data) as SnapshotContent;
    const state = CellState.create(retentionMs);
    state.nextOffset = content.nextOffset;
    state.logTimeMs = content.logTimeMs;
    state.claim = content.claim ?? undefined;
    for (const [worker, born] of content.lives ?? []) state.lives.set(worker, born);
    for (const progress of content.jobs) {
      for (const steps of progress.occurrences)
        for (const step of steps) for (const task of step.tasks) setMissingIncarnation(task);
      if (content.lives === undefined) progress.begun = hasReportedEnd(progress);
      state.addJob(progress);
    }
    for (const { id, outcome, endedMs, leftovers } of content.ended) {
      for (const [, run] of leftovers) setMissingIncarnation(run);
      state.ended.set(id, { outcome, endedMs, leftovers: new Map(leftovers) });
    }
    return state;
  },
};

/**
 * Former versions took a recorded start for the beginning of a job. What began without an end so far is
 * found again in the lists of the workers.
 */
function hasReportedEnd(progress: JobProgress): boolean {
  return progress.occurrences.some((steps) =>
    steps.some((step) => step.done > 0 || step.gangFailures > 0),
  );
}

/** Of runs that a former version recorded it is not known on which life of the worker they are. */
function setMissingIncarnation(run: { born?: number }): void {
  run.born ??= 0;
}
