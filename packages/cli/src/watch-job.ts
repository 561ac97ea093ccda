import { Result } from 'true-myth/result';
import { answers } from '@acaciahoist/errors/answers';
import { Execution } from '@acaciahoist/errors/execution';
import { JobState } from '@acaciahoist/types/job-state';
import type { CallFailure } from './call-failure.js';
import type { CommandIo } from './command-io.js';
import { isRecord } from './is-record.js';
import { printJob } from './print-job.js';
import type { ServerClient } from './server-client.js';

/** Longest time that the server waits for a change of the state before it answers. */
const LONG_POLL_MS = 20_000;
/** Pause after each call. It limits the rate of calls to a server that responds or fails at once. */
const POLL_PAUSE_MS = 500;
/**
 * Consecutive failures after which watching ends. With POLL_PAUSE_MS between the calls they take at
 * least about 60 s, long enough for another process to become the owner of the partition.
 */
const MAX_CONSECUTIVE_FAILURES = 120;

/** Prints the status of a job after each change until the job has ended, and returns its outcome. */
export async function watchJob(
  io: CommandIo,
  client: ServerClient,
  jobId: string,
  isJson: boolean,
): Promise<Result<unknown, CallFailure>> {
  let printedStatus = '';
  let knownState = '';
  let consecutiveFailures = 0;
  for (;;) {
    const path = `/jobs/${jobId}?waitMs=${LONG_POLL_MS}&knownState=${knownState}`;
    const response = await client.call({ method: 'GET', path, waitMs: LONG_POLL_MS });
    if (response.isErr) {
      consecutiveFailures += 1;
      if (!canRetry(response.error) || consecutiveFailures >= MAX_CONSECUTIVE_FAILURES)
        return Result.err(response.error);
    } else {
      consecutiveFailures = 0;
      const status = stringifyWithoutReason(response.value);
      if (status !== printedStatus) printJob(io, response.value, isJson, jobId);
      printedStatus = status;
      if (isRecord(response.value)) knownState = String(response.value.state);
      if (isRecord(response.value) && response.value.state === JobState.ended)
        return Result.ok(response.value.outcome);
    }
    await new Promise<void>((resolve) => {
      io.clock.after(POLL_PAUSE_MS, resolve);
    });
  }
}

/** Leaves out the reason, which contains the age of the decision and so differs in every response. */
function stringifyWithoutReason(status: unknown): string {
  return JSON.stringify(isRecord(status) ? { ...status, reason: undefined } : status);
}

/**
 * Watching only reads, so a call is repeated after every failure that the error table marks as repeatable,
 * unless the response says that the work ran.
 */
function canRetry({ kind, execution }: CallFailure): boolean {
  return answers[kind].repeatable && execution !== Execution.ran;
}
