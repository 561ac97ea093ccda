import type { Resources } from '@acaciahoist/types/resources';

/** Computes the resource use of a task that holds the resources for a duration. */
export function computeResourceTime(
  resources: Resources,
  durationMs: number,
): { millicoreMs: bigint; memoryMibMs: bigint } {
  const duration = BigInt(Math.max(0, Math.round(durationMs)));
  return {
    millicoreMs: BigInt(resources.millicores) * duration,
    memoryMibMs: BigInt(resources.memoryMib) * duration,
  };
}
