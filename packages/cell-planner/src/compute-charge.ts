import type { Capacity } from './capacity.js';

/**
 * Returns what a task of the step counts against the quota and the share of its team. A best-effort task counts in
 * full: it may use all the processors that it names.
 */
export function computeCharge({ millicores, memoryMib, accelerators }: Capacity): Capacity {
  return { millicores, memoryMib, accelerators };
}
