import { test } from 'node:test';
import { expect } from 'earl';
import { Instant } from './instant.js';
import { ManualClock } from './manual-clock.js';
import { PausableClock } from './pausable-clock.js';

// Guards against facts that look young after the machine was suspended: the steady clock stood still.
test('counts the time of a suspension', () => {
  const clock = ManualClock.create(1_000_000);
  const instant = Instant.create(clock);
  clock.advance(100);
  clock.jumpWall(5_000);
  expect(instant.ageMs()).toEqual(5_100);
});

// Guards against facts that look young, or younger than nothing, after the time of day was set back.
test('does not lose age when the time of day is set back', () => {
  const clock = ManualClock.create(1_000_000);
  const instant = Instant.create(clock, 50);
  clock.advance(100);
  clock.jumpWall(-5_000);
  expect(instant.ageMs()).toEqual(150);
});

// Guards against a fact that nobody has told yet being taken for a young one.
test('is infinitely old when it never was', () => {
  const clock = ManualClock.create(1_000_000);
  expect(Instant.create(clock, Number.POSITIVE_INFINITY).ageMs()).toEqual(Number.POSITIVE_INFINITY);
});

// Guards against a permission that outlasts a suspension: the clock of the process is behind by it for good.
test('counts a suspension after which the steady clock is behind', () => {
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
