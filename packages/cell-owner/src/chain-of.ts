import type { CellJob } from '@acaciahoist/cell-types';

/** A call for advice names about this many workers; the objective counts one call a step. */
const NAMED_WORKERS = 30;

/** Longest chain of work in ms from the start of each step to the end of the job. */
export function chainOf(job: CellJob): number[] {
  const { advice } = job.queue;
  const adviceMs =
    advice === undefined ? 0 : advice.decisionMs + advice.perWorkerMs * NAMED_WORKERS;
  const chain = job.steps.map(() => 0);
  for (let index = job.steps.length - 1; index >= 0; index -= 1) {
    const step = job.steps[index];
    if (step === undefined) continue;
    const laterMs = job.steps.reduce(
      (most, later, position) =>
        later.after.includes(index) ? Math.max(most, chain[position] ?? 0) : most,
      0,
    );
    chain[index] = adviceMs + step.estimateMs + laterMs;
  }
  return chain;
}
