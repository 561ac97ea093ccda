import type { CallCounts } from './call-counts.js';

/** Counters of a router since its creation. */
export interface RouterCounts extends CallCounts {
  /** Requests in flight. */
  inFlight: number;
  /** First attempts of requests. */
  firstTries: number;
  /** Attempts after the first. */
  retries: number;
  /** Retries that were not made because the retry budget of the service was used up. */
  retriesDenied: number;
}
