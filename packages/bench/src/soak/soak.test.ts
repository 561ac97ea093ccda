import { describe, test } from 'node:test';
import { SystemClock } from '@acaciahoist/clock/system-clock';
import { expect } from 'earl';
import { expectNoFindings } from './expect-no-findings.js';
import { RecoveryCell } from '../recovery/recovery-cell.js';
import { runSoak } from './run-soak.js';

const seed = Number(process.env.SEED ?? 20_261_205);
const ROUND_MS = 5_000;
console.log(`soak.test seed ${seed}`);

describe('soak', { concurrency: 2 }, () => {
  // Guards against promises that are broken only when faults, restarts and changes overlap.
  test('a short soak keeps the promises', { timeout: 100_000 }, async () => {
    await expectNoFindings({ seed, minutes: 0.1, processes: 3, roundMs: ROUND_MS });
  });

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
