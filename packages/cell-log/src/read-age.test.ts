import { test } from 'node:test';
import { expect } from 'earl';
import { Instant } from '@acaciahoist/clock/instant';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { computeReadAgeMs } from './read-age.js';

// Guards against a response that counts as current at its arrival although it was long in transit.
test('the age of a response with records is the whole time since the request', () => {
  const clock = ManualClock.create();
  const requestedAt = Instant.create(clock);
  clock.advance(700);
  expect(computeReadAgeMs(requestedAt, 0, 3)).toEqual(700);
  expect(computeReadAgeMs(requestedAt, 400, 3)).toEqual(700);
});

// Guards against a quiet log whose replicas all look as old as their reads wait.
test('the age of an empty response is the time since the end of its wait', () => {
  const clock = ManualClock.create();
  const requestedAt = Instant.create(clock);
  clock.advance(410);
  expect(computeReadAgeMs(requestedAt, 400, 0)).toEqual(10);
  expect(computeReadAgeMs(requestedAt, 0, 0)).toEqual(410);
});

// Guards against a response that counts as newer than it is because the store ended the wait early.
test('the age of an empty response before the end of its wait is the time since the request', () => {
  const clock = ManualClock.create();
  const requestedAt = Instant.create(clock);
  clock.advance(100);
  expect(computeReadAgeMs(requestedAt, 400, 0)).toEqual(100);
});
