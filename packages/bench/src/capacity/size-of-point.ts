import type { CapacityPoint } from './capacity-point.js';

/** Returns the size of the point as measured on the platform, or as requested if it is not measured. */
export function sizeOfPoint(point: CapacityPoint): number {
  if (point.slope === 'runningTasks') return point.runningTasks;
  if (point.slope === 'startsPerSecond') return point.startsPerSecond;
  return point.size;
}
