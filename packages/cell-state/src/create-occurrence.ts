import type { CellJob } from '@acaciahoist/cell-types';
import type { StepProgress } from './step-progress.js';

/** Creates the steps of an occurrence of which no task has started. */
export function createOccurrence({ steps }: Pick<CellJob, 'steps'>): StepProgress[] {
  return steps.map((step) => ({
    tasks: Array.from({ length: step.count }, () => ({
      phase: 'waiting',
      run: 0,
      worker: '',
      born: 0,
      failures: 0,
      checkpoint: '',
    })),
    done: 0,
    placed: 0,
    gangFailures: 0,
    lastFailedRun: 0,
  }));
}
