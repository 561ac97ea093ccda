import type { Advice } from './advice.js';

/** Asks the advice service which of `workers` may run the step `job.occurrence.step`. */
export type AdviceClient = (
  step: string,
  workers: readonly string[],
  timeoutMs: number,
) => Promise<Advice>;
