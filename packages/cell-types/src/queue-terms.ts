/** What the configuration says about one queue of jobs. */
export interface QueueTerms {
  name: string;
  /** Name of the group of workers that runs the queue's tasks. */
  service: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Failed runs of a task after which its job has failed. */
  maxAttempts: number;
  /** The objective is this factor times the longest chain of work, and `baseMs` more. */
  stretch: number;
  baseMs: number;
  /** Present when an advice service decides which workers may run a step. */
  advice?: AdviceTerms;
}

import type { AdviceTerms } from './advice-terms.js';
