import type { CellStep } from '@acaciahoist/cell-types/cell-step';

/** A run of an ended job that its worker has not yet reported as ended. It still takes room there. */
export interface LeftoverRun {
  run: number;
  worker: string;
  /** Start of the worker's life for which the run was meant, as Unix ms; 0 when not known. */
  born: number;
  size: Pick<CellStep, 'millicores' | 'memoryMib' | 'accelerators' | 'usesSpareCpu'>;
}
