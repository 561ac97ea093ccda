import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { boundLog } from './bound-log.js';

// Guards against a burst of events that fills disks and takes the processor, and against lines that
// disappear without a trace.
test('bounds the lines, keeps errors, and says how many were left out', () => {
  const clock = ManualClock.create();
  const events: string[] = [];
  const log = boundLog(
    (_level, event, fields) => {
      events.push(event === 'lines-suppressed' ? `${event}=${String(fields?.lines)}` : event);
    },
    clock,
    1,
  );
  for (let index = 0; index < 1_000; index += 1) log('info', 'line');
  log('error', 'alarm');
  expect(events.length).toEqual(402);
  expect(events.slice(-2)).toEqual(['lines-suppressed=600', 'alarm']);
  clock.advance(1_000);
  log('info', 'later');
  expect(events.at(-1)).toEqual('later');
});

// Load pattern: machines of a tenth of a core. Guards against logs that take the time of the work.
test('writes fewer lines on a small machine', () => {
  const clock = ManualClock.create();
  let lines = 0;
  const log = boundLog(() => (lines += 1), clock, 0.1);
  for (let index = 0; index < 1_000; index += 1) log('info', 'line');
  expect(lines).toBeLessThan(60);
  clock.advance(1_000);
  for (let index = 0; index < 1_000; index += 1) log('info', 'line');
  expect(lines).toBeLessThan(90);
});
