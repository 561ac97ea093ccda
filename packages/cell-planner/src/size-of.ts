import type { Room } from './room.js';

/**
 * Computes the capacity that a task uses on its worker. A best-effort task counts with no
 * processors.
 */
export function sizeOf(step: Room & { usesSpareCpu: boolean }): Room {
  return {
    millicores: step.usesSpareCpu ? 0 : step.millicores,
    memoryMib: step.memoryMib,
    accelerators: step.accelerators,
  };
}
