import type { RetryBudget } from './retry-budget.js';
import type { RunnerCallerOptions } from './runner-caller-options.js';

/** Settings of a router. */
export interface RequestRouterOptions extends RunnerCallerOptions {
  /** Shared by the routers of a process. */
  budget: RetryBudget;
  /** Largest number of tries of one request. */
  maxAttempts?: number;
}
