import type { Capacity } from './capacity.js';

/**
 * Computes the capacity that a task uses on its worker. A best-effort task counts with no
 * processors.
 */
export function computeDemand(step: Capacity & { usesSpareCpu: boolean }): Capacity {
  return {
    millicores: step.usesSpareCpu ? 0 : step.millicores,
    memoryMib: step.memoryMib,
    accelerators: step.accelerators,
  };
}
