import { readFileSync } from 'node:fs';
import { describe, test } from 'node:test';
import { SystemClock } from '@acaciahoist/clock/system-clock';
import { expect } from 'earl';
import { RecoveryCell } from '../recovery/recovery-cell.js';
import { runSoak } from './run-soak.js';

/** A seed that has failed: `rounds` of `roundMs` each reach the failure. */
interface RegressionSeed {
  seed: number;
  processes: number;
  minutes: number;
  roundMs: number;
  cause: string;
}

const seed = Number(process.env.SEED ?? 20_261_205);
const ROUND_MS = 5_000;
const { pathname } = new URL('regression-seeds.json', import.meta.url);
const regressionSeeds = JSON.parse(readFileSync(pathname, 'utf8')) as RegressionSeed[];
console.log(`soak.test seed ${seed}`);

async function expectNoFindings(options: Parameters<typeof runSoak>[0]): Promise<void> {
  const { trace, ...report } = await runSoak(options);
  console.log(JSON.stringify(report));
  if (trace !== '') console.log(trace);
  expect(report.findings.map(({ check, message }) => `${check}: ${message}`)).toEqual([]);
  expect(report.rounds).toEqual(report.plannedRounds);
  expect(report.answers.reply ?? 0).toBeGreaterThan(0);
}

describe('soak', { concurrency: 2 }, () => {
  // Guards against promises that are broken only when faults, restarts and changes overlap.
  test('a short soak keeps the promises', { timeout: 100_000 }, async () => {
    await expectNoFindings({ seed, minutes: 0.1, processes: 3, roundMs: ROUND_MS });
  });

  for (const { cause, ...options } of regressionSeeds) {
    // Guards against the return of a fault that this seed has shown.
    test(
      `the soak with seed ${options.seed} keeps the promises`,
      { timeout: 110_000 },
      async () => {
        console.log(`seed ${options.seed} failed earlier: ${cause}`);
        await expectNoFindings(options);
      },
    );
  }

  // Guards against a soak whose faults of links have no effect, because the processes connect directly.
  test('the processes of a cell with links connect through them only', async () => {
    const cell = await RecoveryCell.create({ processes: 2, seed: 1, hasLinks: true });
    try {
      const counts = [0, 1].flatMap((index) =>
        [index === 0 ? 1 : 0, 'log' as const, 'vmList' as const].map(
          (to) => cell.links.find(index, to).connectionCount,
        ),
      );
      expect(counts.every((count) => count > 0)).toEqual(true);
      const owner = await cell.ownerOf('dc-a.0');
      const removals = (['request', 'response'] as const).map((direction) =>
        cell.links.find(owner, 'log').disturb({ type: 'cut', direction }),
      );
      await cell.waitUntil('the loss of the lease while the link to the log is cut', () =>
        cell.latestOutput().includes('authority=holding'),
      );
      for (const remove of removals) remove();
    } finally {
      await cell.stop();
    }
  });

  // Guards against processes that a soak leaves running when it is ended by a signal.
  test(
    'a soak that is ended early stops at once and reports that',
    { timeout: 60_000 },
    async () => {
      const controller = new AbortController();
      const clock = SystemClock.create();
      clock.after(6_000, () => {
        controller.abort();
      });
      const startMs = clock.monotonicMs();
      const { signal } = controller;
      const report = await runSoak({ seed, minutes: 5, processes: 2, signal });
      expect(report.isInterrupted).toEqual(true);
      expect(report.rounds).toEqual(0);
      expect(clock.monotonicMs() - startMs).toBeLessThan(20_000);
    },
  );
});
