import type { RetryBudget } from './retry-budget.js';
import type { RunnerCallerOptions } from './runner-caller-options.js';

/** Options of a `RequestRouter`. */
export interface RequestRouterOptions extends RunnerCallerOptions {
  /** Shared by all routers of a process. */
  budget: RetryBudget;
  /** Largest number of attempts of one request, including the first. */
  maxAttempts?: number;
}
