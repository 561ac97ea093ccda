import type { EmulatedCell } from '../emulated-cell.js';

/** Returns how many tasks of this size the workers that are up hold when nothing else runs there. */
export function countPlaces(cell: EmulatedCell, millicores: number): number {
  return [...cell.workers.values()]
    .filter(({ isUp }) => isUp)
    .reduce((sum, { entry }) => sum + Math.floor(entry.millicores / millicores), 0);
}
