import type { CellJob } from '@acaciahoist/cell-types';
import { computeObjectiveMs } from '@acaciahoist/cell-owner/compute-objective';

/** A shorter time would bring clients back before most outages have ended. */
const MIN_RETRY_AFTER_S = 1;
/** A longer time would leave capacity idle after the outage. */
const MAX_RETRY_AFTER_S = 5;
/** Largest part of the objective of a job for which its client is sent away at once. */
const MAX_OBJECTIVE_SHARE = 0.25;
/** Times of at least this many seconds are spread over a further second. */
const MIN_SPREAD_S = 2;

/**
 * Returns the seconds after which a client may repeat a submission that could not be stored. Load pattern: an outage
 * of the store of several seconds. A client repeats a submission only a few times, so that a constant time would make
 * those give up that came first. An outage is expected to last for as long as it has lasted already, and a job with a
 * distant objective loses little by a later return; a job with a close one returns as soon as possible.
 */
export function chooseRetryAfterS(job: CellJob, outageMs: number): number {
  const seconds = Math.min(
    MAX_RETRY_AFTER_S,
    Math.round(outageMs / 1_000),
    Math.floor((computeObjectiveMs(job) * MAX_OBJECTIVE_SHARE) / 1_000),
  );
  if (seconds < MIN_SPREAD_S) return Math.max(MIN_RETRY_AFTER_S, seconds);
  // Ids are random: their last digit spreads the clients that came together.
  return seconds + (parseInt(job.id.slice(-1), 16) % 2);
}
