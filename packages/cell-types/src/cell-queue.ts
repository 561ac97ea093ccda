import type { QueueTerms } from './queue-terms.js';

/** A queue with the address under which clients reach it. */
export interface CellQueue {
  host: string;
  prefix: string;
  terms: QueueTerms;
}
