import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { formatEvent } from '@acaciahoist/entry/format-event';
import { parseLogLine } from './parse-log-line.js';

const seed = Number(process.env.SEED ?? 20_261_205);
const LINE =
  'time=2026-02-12T18:28:37.175Z level=warn event=answer-timeout process=front-a-1 message="job 7 is \\"late\\"" timeoutMs=8';

// Guards against logs that cannot be read because of how they were collected.
test('a log line is parsed with and without a time and a machine name in front', () => {
  const wallMs = 1_770_920_917_175;
  const plain = parseLogLine(LINE);
  expect(plain?.process).toEqual('front-a-1');
  expect([plain?.collectedMs, plain?.wallMs]).toEqual([undefined, wallMs]);
  expect(Object.fromEntries(plain?.fields ?? [])).toEqual({
    level: 'warn',
    message: 'job 7 is "late"',
    timeoutMs: '8',
  });
  const bench = parseLogLine(` -11.8229 machine-1 ${LINE}`);
  expect([bench?.collectedMs, bench?.wallMs]).toEqual([-11_822.9, wallMs]);
  expect([bench?.process, bench?.timeText]).toEqual(['front-a-1', '-11.8229']);
  expect(parseLogLine(`2026-02-12T18:28:38Z machine-1 ${LINE}`)?.collectedMs).toEqual(
    1_770_920_918_000,
  );
  const shortened = parseLogLine('19.0526 machine-1 level=warn event=job-not-accepted job=9e');
  expect([shortened?.process, shortened?.collectedMs]).toEqual(['machine-1', 19_052.6]);
});

// Guards against an explanation from a line of which a part is missing.
test('a log line that was cut off, or has no event or no time, is not parsed', () => {
  const rejected = [
    LINE.slice(0, LINE.indexOf(' is ')),
    LINE.slice(0, LINE.indexOf('event=')),
    'event=job-ended job=9e',
    'built in 19.4 s; 56785 lines in 908 files',
    'Error: a stack at event=7 of time=9',
    '',
  ];
  expect(rejected.map(parseLogLine)).toEqual(rejected.map(() => undefined));
});

// Guards against a change of the log format in the writer only.
test('every line that the event log writes is parsed to the same fields', () => {
  const name = fc.stringMatching(/^[a-z][A-Za-z]{0,9}$/);
  const value = fc.oneof(
    fc.string({ unit: 'binary' }),
    fc.integer(),
    fc.boolean(),
    fc.constant(null),
  );
  const added = ['name', 'hostname', 'pid', 'level', 'msg', 'time', 'v', 'event', 'process'];
  fc.assert(
    fc.property(fc.dictionary(name, value, { noNullPrototype: true }), (fields) => {
      for (const field of added) Reflect.deleteProperty(fields, field);
      const time = { toISOString: () => '2026-02-12T18:28:37.175Z' };
      const line = formatEvent({ msg: 'job-ended', time, process: 'a:1', ...fields }, 'info');
      const parsed = parseLogLine(line);
      expect([parsed?.event, parsed?.process]).toEqual(['job-ended', 'a:1']);
      const texts = Object.entries(fields).map(([key, entry]): [string, string] => [
        key,
        String(entry),
      ]);
      expect(new Map(parsed?.fields)).toEqual(new Map([['level', 'info'], ...texts]));
    }),
    { seed },
  );
});
