import { test } from 'node:test';
import { expect } from 'earl';
import { ElapsedTime } from './elapsed-time.js';
import { ManualClock } from './manual-clock.js';
import { PausableClock } from './pausable-clock.js';

// Guards against a permission that outlasts a suspension, which the steady clock does not count.
test('counts a suspension, and is not shortened by a jump back of the time of day', () => {
  const base = ManualClock.create(1_000_000);
  const clock = PausableClock.create(base);
  const elapsed = ElapsedTime.create(clock);
  clock.suspend();
  base.advance(500);
  clock.resume();
  expect(elapsed.ms()).toEqual(500);
  base.advance(100);
  base.jumpWall(-10_000);
  expect(elapsed.ms()).toEqual(100);
});
