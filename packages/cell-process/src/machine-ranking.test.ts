import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { MachineRanking } from './machine-ranking.js';

// Guards against an owner that stays on a machine that is too small for its work, and against repeated
// handovers between machines of about the same size.
test('a machine is outranked only by a much larger one, and only while that one reports itself', () => {
  const clock = ManualClock.create();
  const ranking = MachineRanking.create(clock, 0.3);
  ranking.addReport('a', { cores: 0.33, dataCentre: 'x' });
  expect(ranking.isOutranked()).toEqual(false);
  ranking.addReport('b', { cores: 1.35, dataCentre: 'x' });
  expect(ranking.isOutranked()).toEqual(true);
  clock.advance(4_000);
  expect(ranking.isOutranked()).toEqual(false);
  ranking.setReportedLargestCores(1.35);
  expect([ranking.isOutranked(), ranking.largestCores()]).toEqual([true, 1.35]);
  // The larger machine may be that of the predecessor, which has ended.
  ranking.clearReportedLargestCores();
  expect(ranking.isOutranked()).toEqual(false);
});

// Guards against an owner that hands the cell over again and again, and against processes that never claim it,
// because of a machine that does not exist.
test('a machine is not outranked by a report of more cores than any machine has', () => {
  const ranking = MachineRanking.create(ManualClock.create(), 2);
  ranking.addReport('a', { cores: 1e300, dataCentre: 'x' });
  ranking.setReportedLargestCores(1e300);
  expect([ranking.isOutranked(), ranking.largestCores()]).toEqual([false, 2]);
});
