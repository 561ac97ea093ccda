import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { limitLogRate } from './limit-log-rate.js';

// Guards against a burst of events that fills disks and uses up the processor time, and against dropped
// lines that nothing reports.
test('the log limiter drops lines beyond the burst, keeps errors and logs the number of dropped lines', () => {
  const clock = ManualClock.create();
  const events: string[] = [];
  const log = limitLogRate(
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

// Guards against logging that uses up the processor time of a machine with a tenth of a core.
test('the log limiter writes fewer lines on a machine with a tenth of a core', () => {
  const clock = ManualClock.create();
  let lines = 0;
  const log = limitLogRate(() => (lines += 1), clock, 0.1);
  for (let index = 0; index < 1_000; index += 1) log('info', 'line');
  expect(lines).toBeLessThan(60);
  clock.advance(1_000);
  for (let index = 0; index < 1_000; index += 1) log('info', 'line');
  expect(lines).toBeLessThan(90);
});
