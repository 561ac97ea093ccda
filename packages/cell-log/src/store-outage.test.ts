import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { StoreOutage } from './store-outage.js';

// Guards against a store that counts as unavailable because the process sends no calls, and against
// a waiting read that counts as an outage while it waits.
test('the store outage counts only the time for which a response is overdue', () => {
  const clock = ManualClock.create();
  const outage = StoreOutage.create(clock);
  clock.advance(5_000);
  expect(outage.durationMs()).toEqual(0);
  outage.recordCall(400);
  clock.advance(400);
  expect(outage.durationMs()).toEqual(0);
  clock.advance(300);
  expect(outage.durationMs()).toEqual(300);
  outage.recordResponse();
  clock.advance(300);
  expect(outage.durationMs()).toEqual(0);
});

// Guards against a store that refuses every call and counts as available because it does so
// quickly.
test('the store outage continues while the store refuses every call', () => {
  const clock = ManualClock.create();
  const outage = StoreOutage.create(clock);
  for (let round = 0; round < 5; round += 1) {
    outage.recordCall(0);
    clock.advance(100);
    outage.recordFailure();
  }
  expect(outage.durationMs()).toEqual(500);
});

// Guards against an outage that is noticed late, because an unanswered append counts only once the
// wait of a read is over.
test('the store outage counts from the call whose response is due first', () => {
  const clock = ManualClock.create();
  const outage = StoreOutage.create(clock);
  outage.recordCall(1_000);
  outage.recordCall(0);
  clock.advance(300);
  expect(outage.durationMs()).toEqual(300);
});
