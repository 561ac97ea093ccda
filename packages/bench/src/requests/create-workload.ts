import type { Lane } from '@acaciahoist/slot-pool/lane';
import type { Arrival } from './arrival.js';

/** Mean service times, ms; the times are distributed exponentially. */
const meanServiceMs: Readonly<Record<Lane, number>> = { prompt: 10, heavy: 60 };

/**
 * Generates requests with Poisson arrivals. `loads` are the shares of all slots that each lane needs on
 * average.
 */
export function createWorkload(options: {
  random: () => number;
  slots: number;
  durationMs: number;
  loads: Readonly<Record<Lane, number>>;
}): Arrival[] {
  const { random, slots, durationMs, loads } = options;
  const drawExponential = (meanMs: number): number => -meanMs * Math.log(1 - random());
  const arrivals: Arrival[] = [];
  for (const lane of ['prompt', 'heavy'] as const) {
    if (loads[lane] === 0) continue;
    const gapMs = meanServiceMs[lane] / (slots * loads[lane]);
    for (let atMs = drawExponential(gapMs); atMs < durationMs; atMs += drawExponential(gapMs)) {
      arrivals.push({ atMs, lane, serviceMs: drawExponential(meanServiceMs[lane]) });
    }
  }
  return arrivals.sort((left, right) => left.atMs - right.atMs);
}
