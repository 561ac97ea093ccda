import type { CellStep } from './cell-step.js';
import type { QueueTerms } from './queue-terms.js';

/**
 * A job as the cell keeps it: steps of tasks, with one occurrence or several at scheduled times.
 */
export interface CellJob {
  /** 16 hexadecimal digits chosen by the client. */
  id: string;
  /** Terms of the queue when the job was accepted. */
  queue: QueueTerms;
  /** Text that every task receives. */
  payload: string;
  steps: readonly CellStep[];
  /** Number of occurrences; 1 for a job that is not repeated. */
  occurrences: number;
  /** Unix time of the first occurrence in ms; 0 for a job that starts at once. */
  firstRunMs: number;
  /** Time in ms from one occurrence to the next. */
  intervalMs: number;
  /** Unix time in ms at which the accepting process received the job. */
  receivedMs: number;
  /** Team whose caller submitted the job; absent when the configuration had no teams or the queue was public. */
  team?: string;
}
