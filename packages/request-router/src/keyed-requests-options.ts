import type { Result } from 'true-myth/result';
import type { Failure } from '@acaciahoist/errors';
import type { KeyClaim } from './key-claim.js';
import type { KeyOutcome } from './key-outcome.js';
import type { KeyRecord } from './key-record.js';
import type { RunnerCallerOptions } from './runner-caller-options.js';

/** Options of the `KeyedRequests` of one owned partition. */
export interface KeyedRequestsOptions extends RunnerCallerOptions {
  /** Looks up a key in the state that this owner has replayed from the journal and committed to it. */
  findKey: (key: string) => KeyRecord | undefined;
  /**
   * Resolves when the claim is durable under a valid lease. A failure whose kind means "not run" means
   * that the claim was certainly not appended; after any other it may be appended already or later.
   */
  claimKey: (claim: KeyClaim) => Promise<Result<void, Failure>>;
  /** Resolves when the outcome is durable. May be repeated; only the first recorded outcome takes effect. */
  recordOutcome: (outcome: KeyOutcome) => Promise<Result<void, Failure>>;
  /** True while the lease is valid. Reads the clock at each call. */
  isLeased: () => boolean;
}
