import type { QueueTerms } from './queue-terms.js';

/** A queue, with the host and the path prefix under which clients reach it. */
export interface CellQueue {
  host: string;
  prefix: string;
  terms: QueueTerms;
  /** True when callers of the queue need no key. */
  isPublic: boolean;
}
