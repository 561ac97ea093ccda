import { test } from 'node:test';
import { expect } from 'earl';
import { Instant } from '@acaciahoist/clock/instant';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { readAge } from './read-age.js';

// Guards against an answer that was under way for long being taken for the state of its arrival.
test('counts the whole way of an answer with records', () => {
  const clock = ManualClock.create();
  const requestedAt = Instant.create(clock);
  clock.advance(700);
  expect(readAge(requestedAt, 0, 3)).toEqual(700);
  expect(readAge(requestedAt, 400, 3)).toEqual(700);
});

// Guards against a quiet log whose replicas all look as old as their reads wait.
test('counts an empty answer from the end of its wait', () => {
  const clock = ManualClock.create();
  const requestedAt = Instant.create(clock);
  clock.advance(410);
  expect(readAge(requestedAt, 400, 0)).toEqual(10);
  expect(readAge(requestedAt, 0, 0)).toEqual(410);
});

// Guards against a store that ends a wait early being believed for the rest of it.
test('counts an empty answer that came early from the question', () => {
  const clock = ManualClock.create();
  const requestedAt = Instant.create(clock);
  clock.advance(100);
  expect(readAge(requestedAt, 400, 0)).toEqual(100);
});
