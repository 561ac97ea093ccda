import type { QueueTerms } from './queue-terms.js';

/** A queue, with the host and the path prefix under which clients reach it. */
export interface CellQueue {
  host: string;
  prefix: string;
  terms: QueueTerms;
}
