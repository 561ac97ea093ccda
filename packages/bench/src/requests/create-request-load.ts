import type { Lane } from '@acaciahoist/slot-pool/lane';
import { createRandom } from './create-random.js';

/** One request that a caller sends. */
interface LoadRequest {
  atMs: number;
  id: string;
  service: string;
  lane: Lane;
  serviceMs: number;
}

/** Requests of one service with their rate. */
interface Stream {
  service: string;
  lane: Lane;
  serviceMs: number;
  perSecond: number;
}

/** Generates requests of several services with Poisson arrivals for a time. */
export function createRequestLoad(options: {
  seed: number;
  name: string;
  durationMs: number;
  streams: readonly Stream[];
}): LoadRequest[] {
  const random = createRandom(options.seed);
  const load: LoadRequest[] = [];
  for (const { service, lane, serviceMs, perSecond } of options.streams) {
    if (perSecond === 0) continue;
    const drawGapMs = (): number => (-1_000 / perSecond) * Math.log(1 - random());
    for (let atMs = drawGapMs(); atMs < options.durationMs; atMs += drawGapMs()) {
      load.push({ atMs, id: `${options.name}-${load.length}`, service, lane, serviceMs });
    }
  }
  return load.sort((left, right) => left.atMs - right.atMs);
}
