import type { CapacityPoint } from './capacity-point.js';
import type { fitCapacity } from './fit-capacity.js';

/** Result of the capacity bench. */
export interface CapacityReport {
  seed: number;
  machine: { cpus: number; model: string; memoryMib: number; node: string };
  repetitions: number;
  measureMs: number;
  points: readonly CapacityPoint[];
  /** Least-squares line of each measure over each varied size. */
  fits: readonly ReturnType<typeof fitCapacity>[number][];
}
