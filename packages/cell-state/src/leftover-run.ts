import type { CellStep } from '@acaciahoist/cell-types/cell-step';

/**
 * A run that has not ended and is not the current run of its task: one of an ended job, or a second run beside the
 * current one. It uses capacity of its worker.
 */
export interface LeftoverRun {
  run: number;
  worker: string;
  /**
   * Start of the worker's incarnation for which the run was decided, in Unix ms; 0 when unknown.
   */
  born: number;
  size: Pick<CellStep, 'millicores' | 'memoryMib' | 'accelerators' | 'usesSpareCpu'>;
}
