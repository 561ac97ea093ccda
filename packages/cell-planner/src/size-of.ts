import type { Room } from './room.js';

/** Room that a task takes on its worker. Tasks on spare processor time take only memory. */
export function sizeOf(step: Room & { usesSpareCpu: boolean }): Room {
  return {
    millicores: step.usesSpareCpu ? 0 : step.millicores,
    memoryMib: step.memoryMib,
    accelerators: step.accelerators,
  };
}
