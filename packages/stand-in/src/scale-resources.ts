import type { Resources } from '@acaciahoist/types/resources';

/**
 * Multiplies processors and memory by a factor. Accelerators are allocated whole and stay the same.
 */
export function scaleResources(resources: Resources, factor: number): Resources {
  return {
    millicores: Math.round(resources.millicores * factor),
    memoryMib: Math.round(resources.memoryMib * factor),
    accelerators: resources.accelerators,
  };
}
