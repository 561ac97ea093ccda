import type { Capacity } from '@acaciahoist/cell-planner/capacity';
import type { OwnerContext } from './owner-context.js';
import type { WorkerSession } from './worker-session.js';

/** Returns the capacity of a worker less that of its recorded runs and of the decided starts there. */
export function computeFreeCapacity(
  { runs, proposals }: Pick<OwnerContext, 'runs' | 'proposals'>,
  { id, entry }: WorkerSession,
): Capacity {
  const { millicores, memoryMib, accelerators } = entry;
  const free = { millicores, memoryMib, accelerators };
  runs.usedCapacity.subtractFrom(free, id);
  proposals.usedCapacity.subtractFrom(free, id);
  return free;
}
