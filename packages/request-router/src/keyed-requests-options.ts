import type { Result } from 'true-myth/result';
import type { Failure } from '@acaciahoist/errors';
import type { KeyClaim } from './key-claim.js';
import type { KeyOutcome } from './key-outcome.js';
import type { KnownKey } from './known-key.js';
import type { RunnerCallerOptions } from './runner-caller-options.js';

/** Settings of the keyed requests of one owned partition. */
export interface KeyedRequestsOptions extends RunnerCallerOptions {
  /** Looks the key up in the journal as replayed and committed by this owner. */
  findKey: (key: string) => KnownKey | undefined;
  /**
   * Resolves when the claim is durable under a valid lease. A failure whose kind means "not run" says
   * that the claim was certainly not appended; any other says that it may be or become so.
   */
  claimKey: (claim: KeyClaim) => Promise<Result<void, Failure>>;
  /** Resolves when the outcome is durable. May be repeated; the first recorded outcome counts. */
  recordOutcome: (outcome: KeyOutcome) => Promise<Result<void, Failure>>;
  /** True under a valid lease, by a reading of the clock at the time of the call. */
  isLeased: () => boolean;
}
