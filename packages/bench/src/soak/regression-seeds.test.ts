import { readFileSync } from 'node:fs';
import { describe, test } from 'node:test';
import { expectNoFindings } from './expect-no-findings.js';

/** A round of a seed that has failed, with its cause. */
interface RegressionSeed {
  seed: number;
  processes: number;
  onlyRound: number;
  cause: string;
}

const { pathname } = new URL('regression-seeds.json', import.meta.url);
const regressionSeeds = JSON.parse(readFileSync(pathname, 'utf8')) as RegressionSeed[];

describe('soak with seeds that have failed', { concurrency: 2 }, () => {
  for (const { cause, ...options } of regressionSeeds) {
    // Guards against the return of a fault that this round has shown.
    test(
      `round ${options.onlyRound} of seed ${options.seed} keeps the promises`,
      { timeout: 100_000 },
      async () => {
        console.log(`seed ${options.seed} failed earlier: ${cause}`);
        await expectNoFindings({ ...options, minutes: 0 });
      },
    );
  }
});
