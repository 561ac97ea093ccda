import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { FaultGuard } from './fault-guard.js';

// Guards against one unexpected error that ends a process, and against a process that goes on for ever
// though nothing in it works.
test('goes on after an unexpected error and ends the process after many', () => {
  const clock = ManualClock.create();
  let exits = 0;
  const events: string[] = [];
  const guard = FaultGuard.create({
    clock,
    log: (_level, event) => events.push(event),
    count: () => undefined,
    exit: () => (exits += 1),
  });
  for (let fault = 0; fault < 30; fault += 1) {
    guard.caught(new TypeError('cannot read properties of undefined'));
    clock.advance(1_500);
  }
  expect([events.length, exits]).toEqual([30, 0]);
  for (let fault = 0; fault < 11; fault += 1) guard.caught('again');
  expect(exits).toBeGreaterThan(0);
});
