import type { CapacityPoint } from './capacity-point.js';
import { fitLine } from './fit-line.js';
import { sizeOfPoint } from './size-of-point.js';

const MEASURES = [
  'cpuPercent',
  'bytesPerSecond',
  'rssMib',
  'appendsPerSecond',
  'snapshotBytes',
  'journalBytesPerStart',
] as const;

type Fit = ReturnType<typeof fitLine> & { varied: string; measure: (typeof MEASURES)[number] };

/** Fits a line to each measure over each size that was varied. */
export function fitCapacity(points: readonly CapacityPoint[]): Fit[] {
  const varied = [...new Set(points.map(({ slope }) => slope))];
  return varied.flatMap((slope) => {
    const slopePoints = points.filter((point) => point.slope === slope);
    return MEASURES.map((measure) => {
      // Without starts there is no value per start.
      const usedPoints = slopePoints.filter(
        (point) => measure !== 'journalBytesPerStart' || point.startsPerSecond > 0,
      );
      const line = fitLine(
        usedPoints.map((point) => ({ x: sizeOfPoint(point), y: point[measure] })),
      );
      return { varied: slope, measure, ...line };
    }).filter(({ intercept }) => Number.isFinite(intercept));
  });
}
