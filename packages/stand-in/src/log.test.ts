import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { createLogStream } from '@acaciahoist/http-client/create-log-stream';
import type { LogStream } from '@acaciahoist/types/log-stream';
import type { StandIn } from './stand-in.js';
import { withPlatform } from './with-platform.js';

const stream = 'journal.dc1.0';

function withLog(
  settings: Parameters<typeof withPlatform>[0],
  body: (log: LogStream, platform: StandIn) => Promise<void>,
): Promise<void> {
  return withPlatform(settings, (platform, http) =>
    body(createLogStream({ http, address: platform.addresses().log, stream }), platform),
  );
}

function readTexts(platform: StandIn): string[] {
  return platform.log.readRecords(stream).records.map(({ data }) => Buffer.from(data).toString());
}

async function readOutcome(append: ReturnType<LogStream['append']>): Promise<string> {
  const result = await append;
  return result.isOk ? 'ok' : result.error.kind;
}

test('the log counts offsets from 0 per stream and returns any bytes unchanged', () =>
  withLog({}, async (log) => {
    const data = Buffer.from([0, 255, 10, 13, 34]);
    expect((await log.append(data, 1_000)).unwrapOr(-1)).toEqual(0);
    expect((await log.append(Buffer.alloc(0), 1_000)).unwrapOr(-1)).toEqual(1);
    const page = (await log.read(0, 0)).unwrapOr(undefined);
    expect(page?.end).toEqual(2);
    expect(page?.records.map((record) => Buffer.from(record.data))).toEqual([
      data,
      Buffer.alloc(0),
    ]);
  }));

// Guards against a read that lasts its whole waiting time because no append ends the wait.
test('the log answers a waiting read at the next append', { timeout: 10_000 }, () =>
  withLog({}, async (log) => {
    const read = log.read(0, 30_000);
    await log.append(Buffer.from('a'), 1_000);
    const page = (await read).unwrapOr(undefined);
    expect(page?.records.map(({ offset }) => offset)).toEqual([0]);
  }),
);

// Guards against a client that reports an append with a lost response as not appended: a repetition would
// duplicate the record.
for (const how of ['withhold', 'close']) {
  test(`an append whose response is lost by ${how} gives append-unknown and is in the log once`, () =>
    withLog({}, async (log, platform) => {
      await platform.control({ target: 'log', fault: 'lose-responses', value: { count: 1, how } });
      expect(await readOutcome(log.append(Buffer.from('a'), 100))).toEqual('append-unknown');
      expect(await readOutcome(log.append(Buffer.from('b'), 1_000))).toEqual('ok');
      expect(readTexts(platform)).toEqual(['a', 'b']);
    }));
}

// Guards against a stand-in without late appends: tests would then not detect clients that assume that an
// append can no longer take effect after its timeout.
test('a late append takes effect after the timeout of the client', () =>
  withLog({}, async (log, platform) => {
    const value = { count: 1, lateMs: 150 };
    await platform.control({ target: 'log', fault: 'late-appends', value });
    expect(await readOutcome(log.append(Buffer.from('a'), 50))).toEqual('append-unknown');
    expect(readTexts(platform)).toEqual([]);
    const isDone = () => platform.history.ofType('append').length === 1;
    expect(await platform.history.waitFor(isDone, 5_000)).toEqual(true);
    expect(readTexts(platform)).toEqual(['a']);
  }));

// Guards against a client that treats a refused append as possibly appended.
test('an append over the rate gives log-unavailable and is not in the log', () =>
  withLog({ log: { appendsPerSecond: 0, burst: 2 } }, async (log, platform) => {
    const kinds = [];
    for (const text of ['a', 'b', 'c'])
      kinds.push(await readOutcome(log.append(Buffer.from(text), 500)));
    expect(kinds).toEqual(['ok', 'ok', 'log-unavailable']);
    expect(readTexts(platform)).toEqual(['a', 'b']);
  }));

test('an append gives log-unavailable in an outage with 503 and append-unknown in a silent one', () =>
  withLog({}, async (log, platform) => {
    await platform.control({ target: 'log', fault: 'outage', value: 'refuse' });
    expect(await readOutcome(log.append(Buffer.from('a'), 500))).toEqual('log-unavailable');
    expect((await log.read(0, 0)).isErr).toEqual(true);
    await platform.control({ target: 'log', fault: 'outage', value: 'silent' });
    expect(await readOutcome(log.append(Buffer.from('b'), 100))).toEqual('append-unknown');
    await platform.control({ target: 'log', fault: 'outage', value: 'none' });
    expect(await readOutcome(log.append(Buffer.from('c'), 500))).toEqual('ok');
    expect(readTexts(platform)).toEqual(['c']);
  }));

// Guards against a read that lasts its whole waiting time although an outage has started.
test('the log answers a waiting read when an outage starts', { timeout: 10_000 }, () =>
  withLog({}, async (log, platform) => {
    const read = log.read(0, 30_000);
    await log.append(Buffer.from('a'), 1_000);
    await read;
    const second = log.read(1, 30_000);
    await log.read(0, 0);
    await platform.control({ target: 'log', fault: 'outage', value: 'refuse' });
    const result = await second;
    expect(result.isErr && result.error.kind).toEqual('log-unavailable');
  }),
);

// Guards against a reader that treats a page as the whole stream although records were removed.
test('a page states the first retained offset and starts there after records were removed', () =>
  withLog({ log: { retentionRecords: 2 } }, async (log, platform) => {
    for (const text of ['a', 'b', 'c']) await log.append(Buffer.from(text), 500);
    const page = (await log.read(0, 0)).unwrapOr(undefined);
    expect([page?.firstRetained, page?.end, page?.records[0]?.offset]).toEqual([1, 3, 1]);
    await platform.control({ target: 'log', fault: 'retention-ms', value: 0 });
    expect(platform.log.readRecords(stream).firstRetained).toEqual(3);
  }));

const faults = fc.constantFrom(
  { fault: 'outage', value: 'none' },
  { fault: 'outage', value: 'refuse' },
  { fault: 'outage', value: 'silent' },
  { fault: 'lose-responses', value: { count: 1, how: 'withhold' } },
  { fault: 'lose-responses', value: { count: 1, how: 'close' } },
  { fault: 'late-appends', value: { count: 1, lateMs: 40 } },
  { fault: 'append-rate', value: 0 },
  { fault: 'append-rate', value: 1_000 },
);

// Guards against a sequence of faults after which the client reports a wrong outcome of an append.
test('the log holds an acknowledged append once, a refused one never, an unknown one at most once', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(faults, { minLength: 1, maxLength: 8 }), (steps) =>
      withLog({}, async (log, platform) => {
        const kinds: string[] = [];
        for (const [index, step] of steps.entries()) {
          await platform.control({ target: 'log', ...step });
          kinds.push(await readOutcome(log.append(Buffer.from(`${index}`), 20)));
        }
        const isDone = () => platform.log.outstandingLateAppends === 0;
        expect(await platform.history.waitFor(isDone, 5_000)).toEqual(true);
        const recordTexts = readTexts(platform);
        for (const [index, kind] of kinds.entries()) {
          const count = recordTexts.filter((text) => text === `${index}`).length;
          if (kind === 'ok') expect(count).toEqual(1);
          else if (kind === 'log-unavailable') expect(count).toEqual(0);
          else expect(count <= 1).toEqual(true);
        }
      }),
    ),
    { numRuns: 25 },
  );
});
