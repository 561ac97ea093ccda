import { SystemClock } from '@acaciahoist/clock/system-clock';
import { planCell } from '@acaciahoist/cell-planner';
import { percentile } from '../placement/percentile.js';
import { createLoadedCell } from './create-loaded-cell.js';

/** Sizes in workers and waiting steps, from a cell of today to the size two years on. */
const SIZES = [
  { workers: 32, steps: 60 },
  { workers: 246, steps: 400 },
  { workers: 378, steps: 600 },
  { workers: 790, steps: 1_200 },
] as const;
const ROUNDS = 200;
const QUICK_ROUNDS = 10;
/** Rounds before the measurement, in which the functions are compiled. */
const WARM_UP_ROUNDS = 20;
/** Budget of a round as in a cell of a hundred processes. */
const BUDGET = { promptRequests: 20, otherRequests: 13, starts: 500 } as const;

/** Times planning rounds of a loaded cell at several sizes. Times are in ms of the whole round. */
export function runPlanBench(options: { seed: number; quick: boolean }): {
  seed: number;
  sizes: {
    workers: number;
    steps: number;
    starts: number;
    asks: number;
    medianMs: number;
    p99Ms: number;
  }[];
} {
  const clock = SystemClock.create();
  const rounds = options.quick ? QUICK_ROUNDS : ROUNDS;
  const sizes = SIZES.map((size) => {
    const cell = createLoadedCell({ ...size, seed: options.seed });
    const times: number[] = [];
    let plan = planCell(cell.steps, cell.workers(), 0, BUDGET);
    for (let round = -WARM_UP_ROUNDS; round < rounds; round += 1) {
      const workers = cell.workers();
      const startedMs = clock.monotonicMs();
      plan = planCell(cell.steps, workers, 0, BUDGET);
      if (round >= 0) times.push(clock.monotonicMs() - startedMs);
    }
    return {
      ...size,
      starts: plan.starts.length,
      asks: plan.adviceRequests.length,
      medianMs: Number(percentile(times, 0.5).toFixed(3)),
      p99Ms: Number(percentile(times, 0.99).toFixed(3)),
    };
  });
  return { seed: options.seed, sizes };
}
