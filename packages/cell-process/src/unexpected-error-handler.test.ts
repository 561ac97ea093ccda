import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { UnexpectedErrorHandler } from './unexpected-error-handler.js';

// Guards against a single unexpected error that ends the process, and against a process that no longer
// works and keeps running.
test('the handler of unexpected errors ends the process after many of them in a short time, not after single ones', () => {
  const clock = ManualClock.create();
  let exits = 0;
  const events: string[] = [];
  const handler = UnexpectedErrorHandler.create({
    clock,
    log: (_level, event) => events.push(event),
    count: () => undefined,
    exit: () => (exits += 1),
  });
  for (let fault = 0; fault < 30; fault += 1) {
    handler.handle(new TypeError('cannot read properties of undefined'));
    clock.advance(1_500);
  }
  expect([events.length, exits]).toEqual([30, 0]);
  for (let fault = 0; fault < 11; fault += 1) handler.handle('again');
  expect(exits).toBeGreaterThan(0);
});
