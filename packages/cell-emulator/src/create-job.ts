import type { CellJob } from '@acaciahoist/cell-types';
import type { CellStep } from '@acaciahoist/cell-types/cell-step';
import { plainStep } from '@acaciahoist/cell-types/plain-step';

/**
 * Creates a job for tests with an id from `number`; `plainStep` supplies the fields that a step does not set.
 * With a payload that starts with `fails`, all runs of its tasks fail; with `flaky`, only the first run of each.
 * With `long`, they take a hundred times their estimate.
 */
export function createJob(
  number: number,
  steps: readonly Partial<CellStep>[] = [{}],
  options: { payload?: string; priority?: number; advised?: boolean; maxAttempts?: number } = {},
): CellJob {
  return {
    id: number.toString(16).padStart(16, '0'),
    queue: {
      name: 'q',
      service: 'work',
      priority: options.priority ?? 1,
      maxAttempts: options.maxAttempts ?? 2,
      stretch: 2,
      baseMs: 1_000,
      ...(options.advised === true
        ? { advice: { decisionMs: 10, perWorkerMs: 0.5, ticketMs: 2_000 } }
        : {}),
    },
    payload: options.payload ?? 'plain',
    steps: steps.map((step) => ({ ...plainStep, ...step })),
    occurrences: 1,
    firstRunMs: 0,
    intervalMs: 0,
    receivedMs: 0,
  };
}
