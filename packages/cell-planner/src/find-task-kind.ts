import type { CellStep } from '@acaciahoist/cell-types/cell-step';
import { TaskKind } from './task-kind.js';

/** Returns the kind of the tasks of a step. The target of a leftover run is not known. */
export function findTaskKind(
  step: Pick<CellStep, 'usesSpareCpu'> & Partial<Pick<CellStep, 'tailTargetMs'>>,
): TaskKind {
  if (step.usesSpareCpu) return TaskKind.bestEffort;
  return (step.tailTargetMs ?? 0) > 0 ? TaskKind.serving : TaskKind.other;
}
