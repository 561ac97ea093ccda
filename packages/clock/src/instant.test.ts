import { test } from 'node:test';
import { expect } from 'earl';
import { Instant } from './instant.js';
import { ManualClock } from './manual-clock.js';
import { PausableClock } from './pausable-clock.js';

// Guards against stale values that look current after a suspension, during which the monotonic time
// does not advance.
test('an instant counts the time of a suspension', () => {
  const clock = ManualClock.create(1_000_000);
  const instant = Instant.create(clock);
  clock.advance(100);
  clock.jumpWall(5_000);
  expect(instant.ageMs()).toEqual(5_100);
});

// Guards against an age that is too low or negative after the wall clock was set back.
test('an instant keeps its age when the wall clock is set back', () => {
  const clock = ManualClock.create(1_000_000);
  const instant = Instant.create(clock, 50);
  clock.advance(100);
  clock.jumpWall(-5_000);
  expect(instant.ageMs()).toEqual(150);
});

// Guards against a value that was never received and looks current.
test('an instant created with an infinite age stays infinitely old', () => {
  const clock = ManualClock.create(1_000_000);
  expect(Instant.create(clock, Number.POSITIVE_INFINITY).ageMs()).toEqual(Number.POSITIVE_INFINITY);
});

// Guards against a permission that is still used after it has expired: after a suspension the monotonic time
// of the process is behind by the length of the suspension.
test('an instant of a pausable clock counts a suspension until the wall clock is set back', () => {
  const base = ManualClock.create(1_000_000);
  const clock = PausableClock.create(base);
  const instant = Instant.create(clock);
  clock.suspend();
  base.advance(500);
  clock.resume();
  expect(instant.ageMs()).toEqual(500);
  base.advance(100);
  base.jumpWall(-10_000);
  expect(instant.ageMs()).toEqual(100);
});
