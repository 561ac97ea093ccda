import type { AdviceTerms } from './advice-terms.js';

/** Terms of one queue of jobs: the part of the configuration that decides how its jobs are run. */
export interface QueueTerms {
  name: string;
  /** Name of the group of workers that runs the queue's tasks. */
  service: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Number of failed runs of a task after which its job fails. */
  maxAttempts: number;
  /**
   * Factor in the objective of a job: it should end within this factor times the length of its
   * critical path, plus `baseMs`.
   */
  stretch: number;
  baseMs: number;
  /**
   * Present when steps need tickets of the advice service, which decides on which workers they may
   * run.
   */
  advice?: AdviceTerms;
}
