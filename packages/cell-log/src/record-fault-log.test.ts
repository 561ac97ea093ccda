import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { RecordFaultLog } from './record-fault-log.js';

// Guards against log lines and memory that grow with the number of faulty keys that another program writes.
test('the log of faulty records limits its lines by key and in total, and gives the number of suppressed ones', () => {
  const clock = ManualClock.create();
  const lines: string[] = [];
  const faultLog = RecordFaultLog.create({
    clock,
    log: (_level, event, fields) => lines.push(`${event} ${String(fields?.suppressedLines)}`),
  });
  for (let round = 0; round < 3; round += 1) faultLog.write('a', 'warn', 'odd');
  expect(lines).toEqual(['odd 0']);
  for (let key = 0; key < 1_000; key += 1) faultLog.write(String(key), 'warn', 'odd');
  expect(lines[1]).toEqual('odd 2');
  expect(lines.length).toEqual(200);
  clock.advance(60_000);
  faultLog.write('a', 'warn', 'odd');
  expect(lines.at(-1)).toEqual('odd 801');
});
