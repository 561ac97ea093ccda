import type { CellStep } from '@acaciahoist/cell-types/cell-step';

/**
 * A run that has not ended and is not the current run of its task: one of an ended job, or a second run of a task. It
 * uses capacity of its worker.
 */
export interface LeftoverRun {
  run: number;
  worker: string;
  /**
   * Start of the worker's incarnation for which the run was decided, in Unix ms; 0 when unknown.
   */
  born: number;
  /** Team to which the run is charged; absent for a job without a team, or from an earlier version. */
  team?: string;
  size: Pick<CellStep, 'millicores' | 'memoryMib' | 'accelerators' | 'usesSpareCpu'>;
}
