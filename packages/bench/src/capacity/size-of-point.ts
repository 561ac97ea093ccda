import type { CapacityPoint } from './capacity-point.js';

/** Returns the size as measured on the platform, or the requested one where it is not measured. */
export function sizeOfPoint(point: CapacityPoint): number {
  if (point.slope === 'runningTasks') return point.runningTasks;
  if (point.slope === 'startsPerSecond') return point.startsPerSecond;
  return point.size;
}
