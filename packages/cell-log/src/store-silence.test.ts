import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { StoreSilence } from './store-silence.js';

// Guards against a store that is taken as away by a process that had nothing to ask, and against a
// waiting read that counts as silence while it waits.
test('counts only the time for which an answer is owed', () => {
  const clock = ManualClock.create();
  const outage = StoreSilence.create(clock);
  clock.advance(5_000);
  expect(outage.ms()).toEqual(0);
  outage.called(400);
  clock.advance(400);
  expect(outage.ms()).toEqual(0);
  clock.advance(300);
  expect(outage.ms()).toEqual(300);
  outage.answered();
  clock.advance(300);
  expect(outage.ms()).toEqual(0);
});

// Guards against a store that refuses every call being taken as there because it does so quickly.
test('counts refusals as silence', () => {
  const clock = ManualClock.create();
  const outage = StoreSilence.create(clock);
  for (let round = 0; round < 5; round += 1) {
    outage.called(0);
    clock.advance(100);
    outage.failed();
  }
  expect(outage.ms()).toEqual(500);
});

// Guards against an append without an answer that counts only when a read that waits is over.
test('counts from the call whose answer is due first', () => {
  const clock = ManualClock.create();
  const outage = StoreSilence.create(clock);
  outage.called(1_000);
  outage.called(0);
  clock.advance(300);
  expect(outage.ms()).toEqual(300);
});
