/** A job as the cell keeps it: steps of tasks, perhaps repeated at set times. */
export interface CellJob {
  /** 16 hexadecimal digits chosen by the client. */
  id: string;
  /** Terms of the queue at the time of acceptance. */
  queue: QueueTerms;
  /** Text that is handed to every task. */
  payload: string;
  steps: readonly CellStep[];
  /** Number of occurrences; 1 for a job that is not repeated. */
  occurrences: number;
  /** Unix time of the first occurrence in ms; 0 for a job that starts at once. */
  firstRunMs: number;
  intervalMs: number;
  /** Unix time in ms at which the accepting process received the job. */
  receivedMs: number;
}

import type { CellStep } from './cell-step.js';
import type { QueueTerms } from './queue-terms.js';
