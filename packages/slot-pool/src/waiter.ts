import type { Result } from 'true-myth/result';
import type { Failure } from '@acaciahoist/errors';
import type { SlotGrant } from './slot-grant.js';
import type { SlotRequest } from './slot-request.js';

/** A request that waits for a slot; an element of a `WaitQueue`. */
export interface Waiter {
  request: SlotRequest;
  /** Order of arrival over all queues. */
  sequence: number;
  /** Monotonic time of arrival. */
  requestedAtMs: number;
  /** Resolves when the request is granted or refused. */
  answer: Promise<Result<SlotGrant, Failure>>;
  resolve: (result: Result<SlotGrant, Failure>) => void;
  cancelTimer: () => void;
  previous: Waiter | undefined;
  next: Waiter | undefined;
}
