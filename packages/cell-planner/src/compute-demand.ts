import type { Capacity } from './capacity.js';

/**
 * Returns the capacity that a task of the step takes from its worker. A best-effort task takes no
 * processors, as it uses only what others leave.
 */
export function computeDemand(step: Capacity & { usesSpareCpu: boolean }): Capacity {
  return {
    millicores: step.usesSpareCpu ? 0 : step.millicores,
    memoryMib: step.memoryMib,
    accelerators: step.accelerators,
  };
}
