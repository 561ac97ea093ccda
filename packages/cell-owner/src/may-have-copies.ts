import type { CellStep } from '@acaciahoist/cell-types/cell-step';

/**
 * Returns whether tasks of the step may have copies. The members of a gang wait for each other, and best-effort tasks
 * are slow while they are paced.
 */
export function mayHaveCopies(
  step: Pick<CellStep, 'speculative' | 'gang' | 'longRunning' | 'usesSpareCpu'>,
): boolean {
  return step.speculative && !step.gang && !step.longRunning && !step.usesSpareCpu;
}
