import type { Advice } from './advice.js';

/** Requests tickets from the advice service to run the step `job.occurrence.step` on `workers`. */
export type AdviceClient = (
  step: string,
  workers: readonly string[],
  timeoutMs: number,
) => Promise<Advice>;
