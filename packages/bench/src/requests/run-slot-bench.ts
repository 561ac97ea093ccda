import type { Arrival } from './arrival.js';
import { createIdealSystem } from './create-ideal-system.js';
import { createPoolSystem } from './create-pool-system.js';
import { createRandom } from './create-random.js';
import { createRandomSystem } from './create-random-system.js';
import { createWorkload } from './create-workload.js';
import type { EventClock } from './event-clock.js';
import { FakeRunner } from './fake-runner.js';
import { measureSystem } from './measure-system.js';
import type { SlotBenchReport } from './slot-bench-report.js';
import type { SlotSample } from './slot-sample.js';

const RUNNERS = 30;
const SLOTS_PER_RUNNER = 8;
const SLOTS = RUNNERS * SLOTS_PER_RUNNER;
/** Time of a message in one direction, inside a data centre. */
const MESSAGE_MS = 0.5;
const DURATION_MS = 10_000;

/**
 * Measures slot use and waiting in one process on a simulated clock: 8 routers over one pool of 30 runners,
 * in comparison with one ideal queue and with random routing.
 */
export async function runSlotBench({ seed }: { seed: number }): Promise<SlotBenchReport> {
  const normalLoad = createArrivals(seed, { prompt: 0.1, heavy: 0.7 });
  const fullLoad = createArrivals(seed, { prompt: 0.05, heavy: 1.2 });
  const promptLoad = createArrivals(seed, { prompt: 0.05, heavy: 0 });
  const normal = {
    pool: await measurePool(normalLoad, seed),
    ideal: await measureIdeal(normalLoad),
    random: await measureRandom(normalLoad, seed),
  };
  const full = {
    pool: await measurePool(fullLoad, seed),
    ideal: await measureIdeal(fullLoad),
    random: await measureRandom(fullLoad, seed),
  };
  const promptOnly = {
    pool: await measurePool(promptLoad, seed),
    random: await measureRandom(promptLoad, seed),
  };
  return {
    seed,
    normal,
    full,
    promptOnly,
    utilizationOfIdeal: {
      normal: normal.pool.utilization / normal.ideal.utilization,
      full: full.pool.utilization / full.ideal.utilization,
    },
    promptSlowdown: {
      pool: full.pool.promptP99Ms / promptOnly.pool.promptP99Ms,
      random: full.random.promptP99Ms / promptOnly.random.promptP99Ms,
    },
  };
}

function createArrivals(seed: number, loads: { prompt: number; heavy: number }): Arrival[] {
  const random = createRandom(seed);
  return createWorkload({ random, slots: SLOTS, durationMs: DURATION_MS, loads });
}

function createRunners(clock: EventClock): Map<string, FakeRunner> {
  const names = Array.from({ length: RUNNERS }, (_, number) => `runner-${number}`);
  return new Map(names.map((name) => [name, FakeRunner.create(clock, SLOTS_PER_RUNNER)]));
}

function measurePool(load: readonly Arrival[], seed: number): Promise<SlotSample> {
  return measureSystem('pool', load, SLOTS, (clock) => {
    const runners = createRunners(clock);
    const options = { slotsPerRunner: SLOTS_PER_RUNNER, messageMs: MESSAGE_MS, seed };
    const serve = createPoolSystem(clock, runners, options);
    return { serve, runners: [...runners.values()] };
  });
}

function measureIdeal(load: readonly Arrival[]): Promise<SlotSample> {
  return measureSystem('ideal', load, SLOTS, (clock) => {
    const allSlots = FakeRunner.create(clock, SLOTS);
    return { serve: createIdealSystem(allSlots), runners: [allSlots] };
  });
}

function measureRandom(load: readonly Arrival[], seed: number): Promise<SlotSample> {
  return measureSystem('random', load, SLOTS, (clock) => {
    const runners = [...createRunners(clock).values()];
    return { serve: createRandomSystem(clock, runners, { messageMs: MESSAGE_MS, seed }), runners };
  });
}
