import { createRandom } from './create-random.js';
import { delay } from './delay.js';
import type { EventClock } from './event-clock.js';
import type { FakeRunner } from './fake-runner.js';
import type { SlotSystem } from './slot-system.js';

/** Creates the baseline: each request goes to a runner chosen at random, without coordination. */
export function createRandomSystem(
  clock: EventClock,
  runners: readonly FakeRunner[],
  options: { messageMs: number; seed: number },
): SlotSystem {
  const random = createRandom(options.seed);
  return async (_, { serviceMs }) => {
    const runner = runners[Math.floor(random() * runners.length)];
    await delay(clock, options.messageMs);
    await runner?.run(serviceMs);
    await delay(clock, options.messageMs);
    return true;
  };
}
