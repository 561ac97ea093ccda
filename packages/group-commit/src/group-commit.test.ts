import { test } from 'node:test';
import { setImmediate } from 'node:timers/promises';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { Journal } from '@acaciahoist/journal';
import { decodeRecord } from '@acaciahoist/journal/decode-record';
import { encodeRecord } from '@acaciahoist/journal/encode-record';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import { advance } from './advance.js';
import { FakeLog } from './fake-log.js';
import type { GroupCommitOptions } from './group-commit-options.js';
import { GroupCommit } from './group-commit.js';
import { StreamReader } from './stream-reader.js';

/** Creates a group commit for the owner with token 0, whose claim is in the log. */
function createGroupCommit(options: Partial<GroupCommitOptions> = {}) {
  const clock = ManualClock.create();
  const log = FakeLog.create(clock);
  const journal = Journal.create('a.0');
  const holder = { process: 'p', incarnation: '1', dataCentre: 'a' };
  const data = encodeRecord({ type: 'claim', holder, replaces: -1 }).unwrapOr(new Uint8Array());
  journal.apply({ offset: log.appendNow(data), data });
  const durableSinceMs: number[] = [];
  const group = GroupCommit.create({
    clock,
    log,
    journal,
    token: 0,
    reader: StreamReader.create(log, journal),
    applyAcknowledged: (record) => journal.apply(record),
    isLeaseValid: () => true,
    commitIntervalMs: () => 20,
    appendTimeoutMs: 300,
    entryWaitMs: 1_000,
    maxWaitingEntries: 10,
    maxWaitingBytes: 100_000,
    onDurable: (since) => durableSinceMs.push(clock.monotonicMs() - since.ageMs()),
    onFenced: () => undefined,
    ...options,
  });
  const outcomes: string[] = [];
  const commit = (...entries: JournalEntry[]) =>
    void group.commit(entries).then((outcome) => {
      outcomes.push(outcome.isOk ? 'durable' : outcome.error.kind);
    });
  return { clock, log, journal, group, durableSinceMs, outcomes, commit };
}

function createEntry(key: string, bytes = 0): JournalEntry {
  const reply = { status: 200, contentType: '', body: new Uint8Array(bytes), bodyDigest: '' };
  return { type: 'key-done', key, outcome: 'completed', reply, atMs: 0 };
}

function listBatchSizes(log: FakeLog): (number | undefined)[] {
  return log.records.slice(1).map(({ data }) => {
    const record = decodeRecord(data).unwrapOr(undefined);
    return record?.type === 'commit' ? record.entries.length : undefined;
  });
}

test('the group commit puts entries that arrive during an append or the commit interval into one append', async () => {
  // Guards against one append per entry, which exceeds the append budget under load.
  const { clock, log, commit, outcomes } = createGroupCommit();
  log.fault = () => ({ type: 'none', latencyMs: 50 });
  commit(createEntry('a'), createEntry('b'));
  commit(createEntry('c'));
  await advance(clock, 10);
  for (const key of ['d', 'e', 'f']) commit(createEntry(key));
  await advance(clock, 200);
  expect(listBatchSizes(log)).toEqual([3, 3]);
  expect(outcomes).toEqual(Array<string>(5).fill('durable'));
});

test('the group commit keeps the commit interval between appends and never overlaps them', async () => {
  // Guards against an owner that exceeds its share of the append budget because the log answers quickly.
  const { clock, log, commit } = createGroupCommit({ commitIntervalMs: () => 100 });
  let running = 0;
  let maxRunning = 0;
  const startedAtMs: number[] = [];
  const append = log.append.bind(log);
  log.append = async (data, timeoutMs) => {
    startedAtMs.push(clock.monotonicMs());
    running += 1;
    maxRunning = Math.max(maxRunning, running);
    const appended = await append(data, timeoutMs);
    running -= 1;
    return appended;
  };
  for (let call = 0; call < 100; call += 1) {
    commit(createEntry(`k${call}`));
    await advance(clock, 10);
  }
  const intervalsMs = startedAtMs.slice(1).map((atMs, index) => atMs - (startedAtMs[index] ?? 0));
  expect(Math.min(...intervalsMs) >= 100).toEqual(true);
  expect(startedAtMs.length).toEqual(10);
  expect(maxRunning).toEqual(1);
});

test('a queue that is full by number or size refuses a call at once and appends none of its entries', async () => {
  // Guards against memory growth while the log is slow, and against refused entries that take effect.
  const { clock, log, journal, commit, outcomes } = createGroupCommit();
  log.fault = () => ({ type: 'none', latencyMs: 200 });
  commit(createEntry('in flight'));
  await advance(clock, 10);
  for (let call = 0; call < 9; call += 1) commit(createEntry(`k${call}`));
  commit(createEntry('eleventh'), createEntry('twelfth'));
  commit(createEntry('large', 99_000));
  await advance(clock, 1);
  expect(outcomes).toEqual(['log-unavailable', 'log-unavailable']);
  await advance(clock, 500);
  expect(listBatchSizes(log)).toEqual([1, 9]);
  expect(journal.sequence()).toEqual(2);
});

test('the group commit repeats a refused append until its entries expire as not appended', async () => {
  // Guards against failing a call at the first refusal, and against a call that waits without limit.
  const { clock, log, commit, outcomes } = createGroupCommit();
  log.fault = () => ({ type: 'refuse', latencyMs: 5 });
  commit(createEntry('a'));
  await advance(clock, 600);
  log.fault = () => ({ type: 'none', latencyMs: 5 });
  await advance(clock, 600);
  expect(outcomes).toEqual(['durable']);
  log.fault = () => ({ type: 'refuse', latencyMs: 5 });
  commit(createEntry('b'));
  await advance(clock, 1_500);
  expect(outcomes).toEqual(['durable', 'log-unavailable']);
  log.fault = () => ({ type: 'none', latencyMs: 5 });
  await advance(clock, 3_000);
  expect(listBatchSizes(log).filter((entries) => entries === 1).length).toEqual(1);
});

test('the group commit states in each commit the time of its term on the monotonic clock, rounded down', async () => {
  // Guards against keys that expire early: by a wall clock that jumps, or by a term that counts from before the
  // claim.
  const { clock, log, commit, group } = createGroupCommit();
  clock.advance(1_000.75);
  clock.jumpWall(86_400_000);
  commit(createEntry('a'));
  await setImmediate();
  await advance(clock, 100);
  clock.advance(500);
  group.requestRenewal();
  await setImmediate();
  await advance(clock, 100);
  const records = log.records.slice(1).map(({ data }) => decodeRecord(data).unwrapOr(undefined));
  expect(records.map((record) => record?.type === 'commit' && record.termMs)).toEqual([
    1_000, 1_600,
  ]);
});

test('the appender repeats an append without a reply only after a read did not find the record', async () => {
  // Guards against a repetition without a read before it, which could append the entries twice, and against
  // a result that is reported before it is certain.
  const { clock, log, commit, outcomes, durableSinceMs } = createGroupCommit();
  const calls: string[] = [];
  const lossPattern = [true, true, false];
  log.fault = (call) => {
    calls.push(call);
    return { type: call === 'append' && lossPattern.shift() ? 'vanish' : 'none', latencyMs: 2 };
  };
  commit(createEntry('a'));
  await advance(clock, 290);
  expect(outcomes).toEqual([]);
  await advance(clock, 700);
  expect(calls).toEqual(['append', 'read', 'append', 'read', 'append']);
  expect(outcomes).toEqual(['durable']);
  // Not earlier than the last read without the record, which follows timeouts of 300 and 600 ms.
  expect((durableSinceMs[0] ?? 0) >= 900).toEqual(true);
});

test('the group commit reports an unresolved append as unknown and appends nothing after it', async () => {
  // Guards against reporting a record that may still arrive as not appended.
  const { clock, log, journal, commit, outcomes } = createGroupCommit();
  log.fault = (call) =>
    call === 'append'
      ? { type: 'delayed', latencyMs: 0, appendAfterMs: 5_000 }
      : { type: 'refuse', latencyMs: 1 };
  commit(createEntry('a'));
  await advance(clock, 100);
  commit(createEntry('b'));
  await advance(clock, 2_000);
  expect(outcomes).toEqual(['append-unknown', 'log-unavailable']);
  log.fault = () => ({ type: 'none', latencyMs: 2 });
  await advance(clock, 10_000);
  expect(journal.sequence()).toEqual(1);
});

test('a predecessor appends no snapshot with the token of its successor', async () => {
  // Guards against a record under a wrong token: the journal already contains the claim of the successor
  // when the snapshot is created.
  const { clock, log, journal, group } = createGroupCommit();
  const holder = { process: 'q', incarnation: '1', dataCentre: 'a' };
  const claim = encodeRecord({ type: 'claim', holder, replaces: 0 }).unwrapOr(new Uint8Array());
  journal.apply({ offset: log.appendNow(claim), data: claim });
  group.requestSnapshot();
  await advance(clock, 100);
  const records = log.records.slice(2).map(({ data }) => decodeRecord(data).unwrapOr(undefined));
  expect(records.map((record) => record?.type === 'snapshot' && record.token)).toEqual([0]);
  expect([journal.token(), journal.sequence()]).toEqual([1, 0]);
});

test('the group commit rejects a malformed entry and appends the entries of other calls', async () => {
  // Guards against a batch that is acknowledged although all readers ignore it.
  const { clock, log, commit, outcomes } = createGroupCommit();
  commit(createEntry('good'));
  commit({ ...createEntry('bad'), atMs: Number.NaN });
  await advance(clock, 100);
  expect(outcomes).toEqual(['bad-request', 'durable']);
  expect(listBatchSizes(log)).toEqual([1]);
});

test('the group commit reports a commit after the claim of a successor as not appended', async () => {
  // Guards against an owner that repeats its record forever although it has read the claim of its
  // successor, which makes the record invalid.
  let fencedCount = 0;
  const { clock, log, commit, outcomes } = createGroupCommit({
    onFenced: () => (fencedCount += 1),
  });
  const holder = { process: 'q', incarnation: '1', dataCentre: 'a' };
  log.appendNow(encodeRecord({ type: 'claim', holder, replaces: 0 }).unwrapOr(new Uint8Array()));
  commit(createEntry('late'));
  await advance(clock, 100);
  expect([outcomes, fencedCount]).toEqual([['not-owner'], 1]);
});
