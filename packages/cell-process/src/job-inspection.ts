import Result from 'true-myth/result';
import type { CellState } from '@acaciahoist/cell-state';
import { CellJobState } from '@acaciahoist/cell-types/cell-job-state';
import type { JobExplanation } from '@acaciahoist/cell-owner/job-explanation';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import { JobState } from '@acaciahoist/types/job-state';

interface Options {
  /** State of the replica; undefined if the process holds none. */
  state: () => CellState | undefined;
  replicaAgeMs: () => number;
  /** Name and address of the owner as far as this process knows. */
  findOwner: () => { owner: string; address: string } | undefined;
  /** Explains why a job that has not ended waits; undefined if this process is not the owner. */
  explain: ((id: string) => JobExplanation | undefined) | undefined;
}

/** State of a job as an operator reads it. */
interface JobReport {
  jobId: string;
  state: JobState;
  outcome?: string;
  /** Age of the replica that the state is read from. */
  replicaAgeMs: number;
}

/** Answers operators who ask one process about a job. Only the owner knows why a job waits. */
export const jobInspection = {
  /** Returns the state of a job according to the replica. */
  describe(id: string, options: Options): Result<JobReport, Failure> {
    const state = options.state();
    if (state === undefined)
      return Result.err(
        createNotOwnerFailure('this process holds no replica of the cell', options),
      );
    const jobState = state.jobStateOf(id);
    const replicaAgeMs = Math.round(options.replicaAgeMs());
    if (jobState === undefined) {
      const message = `no job with the id ${id} is known; it was not accepted, or it ended and its retention time has passed`;
      const details = { replicaAgeMs, cellTimeMs: state.cellTimeMs };
      return Result.err(Failure.create(ErrorKind.unknownJob, message, details));
    }
    if (jobState === CellJobState.queued)
      return Result.ok({ jobId: id, state: JobState.waiting, replicaAgeMs });
    if (jobState === CellJobState.running)
      return Result.ok({ jobId: id, state: JobState.running, replicaAgeMs });
    return Result.ok({ jobId: id, state: JobState.ended, outcome: jobState, replicaAgeMs });
  },

  /** Explains why a job waits, or how it ended. */
  explain(id: string, options: Options): Result<Record<string, unknown>, Failure> {
    return jobInspection.describe(id, options).andThen((report) => {
      if (report.outcome !== undefined)
        return Result.ok({ reason: `it has ended as ${report.outcome}`, ...report });
      const explanation = options.explain?.(id);
      if (explanation !== undefined) {
        const { reason, ...data } = explanation;
        const { state, replicaAgeMs } = report;
        return Result.ok({ reason, state, replicaAgeMs, ...data });
      }
      return Result.err(
        createNotOwnerFailure('only the owner of the cell knows why a job waits', options, report),
      );
    });
  },
};

function createNotOwnerFailure(cause: string, options: Options, report?: JobReport): Failure {
  const owner = options.findOwner();
  const advice =
    owner === undefined
      ? 'no owner is known; repeat the call'
      : `use the inspection address of ${owner.owner}, which calls other processes at ${owner.address}`;
  return Failure.create(ErrorKind.notOwner, `${cause}; ${advice}`, { ...owner, ...report });
}
