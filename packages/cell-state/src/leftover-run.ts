import type { CellStep } from '@acaciahoist/cell-types/cell-step';

/** A run of an ended job that its worker has not yet reported as ended. It still takes room there. */
export interface LeftoverRun {
  run: number;
  worker: string;
  size: Pick<CellStep, 'millicores' | 'memoryMib' | 'accelerators' | 'usesSpareCpu'>;
}
