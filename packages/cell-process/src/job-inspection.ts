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
  /** Waits until the replica has every record that is in the log now; false when that cannot be ensured. */
  sync: (timeoutMs: number) => Promise<boolean>;
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
  /** Age of the replica that the state is read from; null if it was never current. */
  replicaAgeMs: number | null;
}

/** Time in ms for which an operator waits until the replica is current. */
const SYNC_TIMEOUT_MS = 2_000;

/** Answers operators who ask one process about a job. Only the owner knows why a job waits. */
export const jobInspection = {
  /** Returns the state of a job according to the replica. */
  async describe(id: string, options: Options): Promise<Result<JobReport, Failure>> {
    // A job that the replica lacks may have been accepted since.
    const isCurrent =
      options.state()?.jobStateOf(id) !== undefined || (await options.sync(SYNC_TIMEOUT_MS));
    const state = options.state();
    if (state === undefined)
      return Result.err(
        createNotOwnerFailure('this process holds no replica of the cell', options),
      );
    const jobState = state.jobStateOf(id);
    const ageMs = options.replicaAgeMs();
    const replicaAgeMs = Number.isFinite(ageMs) ? Math.round(ageMs) : null;
    if (jobState === undefined)
      return Result.err(createUnknownJobFailure(id, isCurrent, replicaAgeMs));
    if (jobState === CellJobState.queued)
      return Result.ok({ jobId: id, state: JobState.waiting, replicaAgeMs });
    if (jobState === CellJobState.running)
      return Result.ok({ jobId: id, state: JobState.running, replicaAgeMs });
    return Result.ok({ jobId: id, state: JobState.ended, outcome: jobState, replicaAgeMs });
  },

  /** Explains why a job waits, or how it ended. */
  async explain(id: string, options: Options): Promise<Result<Record<string, unknown>, Failure>> {
    const description = await jobInspection.describe(id, options);
    return description.andThen((report) => {
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

function createUnknownJobFailure(
  id: string,
  isCurrent: boolean,
  replicaAgeMs: number | null,
): Failure {
  return isCurrent
    ? Failure.create(
        ErrorKind.unknownJob,
        `no job with the id ${id} is known; it was not accepted, or it ended and its retention time has passed`,
        { replicaAgeMs },
      )
    : Failure.create(
        ErrorKind.logUnavailable,
        `the replica does not show the job ${id} and is not current, as the log cannot be read; repeat the call or ask another process`,
        { replicaAgeMs },
      );
}

function createNotOwnerFailure(cause: string, options: Options, report?: JobReport): Failure {
  const owner = options.findOwner();
  const advice =
    owner === undefined
      ? 'no owner is known; repeat the call'
      : `use the inspection address of ${owner.owner}, which calls other processes at ${owner.address}`;
  return Failure.create(ErrorKind.notOwner, `${cause}; ${advice}`, { ...owner, ...report });
}
