import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import type { JournalRecord } from '@acaciahoist/types/journal-record';
import type { LogRecord } from '@acaciahoist/types/log-record';
import { decodeRecord } from './decode-record.js';
import { encodeRecord } from './encode-record.js';
import { Journal } from './journal.js';
import { JournalLimits } from './journal-limits.js';
import { packer } from './packer.js';

const seed = Number(process.env.TEST_SEED ?? 20_261_204);
console.log(`seed ${seed}: journal`);

const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;

function createClaim(process: string, replaces: number): JournalRecord {
  return { type: 'claim', holder: { process, incarnation: '1', dataCentre: 'a' }, replaces };
}

function createCommit(token: number, sequence: number, ...entries: JournalEntry[]): JournalRecord {
  return { type: 'commit', token, sequence, entries };
}

function encodeLog(records: readonly JournalRecord[]): LogRecord[] {
  return records.map((record, offset) => ({
    offset,
    data: encodeRecord(record).unwrapOr(new Uint8Array()),
  }));
}

function replay(records: readonly JournalRecord[]) {
  const journal = Journal.create('a.0');
  const results = encodeLog(records).map((record) => {
    const result = journal.apply(record);
    return result.type === 'ignored' ? result.reason : result.type;
  });
  return { journal, results };
}

function createJobAccepted(number: number, atMs: number, key?: string): JournalEntry {
  const resources = { millicores: 2_000, memoryMib: 512, accelerators: {} };
  const groups = [{ name: 'g', count: 1, resources }];
  const job = { family: 'f', user: 'u', team: 't', kind: 'batch', groups, urgent: false } as const;
  const spec = { ...job, repeatable: key === undefined, ...(key !== undefined && { key }) };
  return { type: 'job-accepted', jobId: `a.0:${number}`, spec, atMs };
}

function createJobEnded(number: number, atMs: number): JournalEntry {
  return { type: 'job-ended', jobId: `a.0:${number}`, outcome: 'completed', reason: '', atMs };
}

function createKeyClaimed(key: string, atMs: number): JournalEntry {
  const request = { requestDigest: 'd', service: 's', user: 'u', team: 't' };
  return { type: 'key-claimed', key, ...request, atMs };
}

function createKeyDone(key: string, atMs: number, bytes = 0): JournalEntry {
  const body = new Uint8Array(bytes);
  const reply = { status: 200, contentType: 'text/plain', body, bodyDigest: 'd' };
  return { type: 'key-done', key, outcome: 'completed', reply, atMs };
}

test('the journal accepts claims and owner records by their offsets alone', () => {
  // Guards against two readers that disagree on the owner, and against a former owner whose records
  // are applied. Both arise when processes append without having read each other's last records.
  const { journal, results } = replay([
    createClaim('a', -1),
    createClaim('b', -1), // its process had not read the claim of process a
    createCommit(0, 1, createKeyClaimed('k1', 1)),
    createClaim('c', 0), // its process had not read the commit at offset 2
    createClaim('d', 2),
    createCommit(0, 2, createKeyClaimed('k2', 1)), // process a is no longer the owner
    createCommit(4, 1, createKeyClaimed('k3', 1)),
    createCommit(4, 1, createKeyClaimed('k4', 1)), // repeated sequence number
    { type: 'release', token: 4, sequence: 2 },
    createCommit(4, 3),
    createClaim('e', 6), // its process had not read the release
    createClaim('f', 8),
    createClaim('g', 99), // replaces a record that does not exist yet
  ]);
  expect(results).toEqual([
    ...(['applied', 'stale-claim', 'applied', 'stale-claim', 'applied', 'stale-token'] as const),
    ...(['applied', 'duplicate', 'applied', 'stale-token', 'stale-claim', 'applied'] as const),
    'stale-claim',
  ]);
  expect([...journal.state().keys.keys()]).toEqual(['k1', 'k3']);
  expect([journal.holder()?.process, journal.token()]).toEqual(['f', 11]);
  expect([journal.sequenceOf(0), journal.sequenceOf(4)]).toEqual([1, 2]);
});

test('the decoder returns an error for malformed bytes, and the journal ignores them', () => {
  // Guards against an exception at one record, which would stop every reader of the stream there.
  const valid = encodeRecord(
    createCommit(0, 1, createJobAccepted(1, 1), createKeyDone('k', 2, 10)),
  ).unwrapOr(new Uint8Array());
  const mutated = fc.array(fc.tuple(fc.nat(valid.length - 1), fc.nat(255)), { maxLength: 8 });
  const bytes = fc.oneof(
    fc.uint8Array({ maxLength: 200 }),
    fc.anything().map((value) => new Uint8Array(packer.pack(value))),
    mutated.map((edits) => {
      const copy = Uint8Array.from(valid);
      for (const [index, value] of edits) copy[index] = value;
      return copy;
    }),
  );
  const property = fc.property(bytes, (data) => {
    const decoded = decodeRecord(data);
    const journal = Journal.create('a.0');
    const result = journal.apply({ offset: 0, data });
    expect(result.type === 'ignored' && result.reason === 'malformed').toEqual(decoded.isErr);
    expect(journal.nextOffset()).toEqual(1);
  });
  fc.assert(property, { seed, numRuns: 2_000 });
});

const arbitraryTimeMs = fc.integer({ min: 1, max: 3 * DAY_MS });
const arbitraryNumber = fc.integer({ min: 1, max: 4 });
const arbitraryTask = fc.record({
  jobId: arbitraryNumber.map((n) => `a.0:${n}`),
  taskId: arbitraryNumber.map(String),
  atMs: arbitraryTimeMs,
});
const arbitraryEntry = fc.oneof<fc.Arbitrary<JournalEntry>[]>(
  fc
    .tuple(arbitraryNumber, arbitraryTimeMs, fc.constantFrom(undefined, 'j'))
    .map((values) => createJobAccepted(...values)),
  fc.tuple(arbitraryNumber, arbitraryTimeMs).map((values) => createJobEnded(...values)),
  arbitraryTask.map((value) => ({ type: 'task-assigned', group: 0, worker: 'w', ...value })),
  arbitraryTask.map((value) => ({ type: 'task-armed', group: 0, worker: 'w', ...value })),
  arbitraryTask.map(({ taskId, atMs }) => ({ type: 'task-started', taskId, atMs })),
  arbitraryTask.map(({ taskId, atMs }) => ({
    type: 'task-ended',
    taskId,
    outcome: 'completed',
    atMs,
  })),
  arbitraryTask.map(({ jobId, atMs }) => ({ type: 'cancel-requested', jobId, atMs })),
  arbitraryTask.map(({ taskId, atMs }) => createKeyClaimed(taskId, atMs)),
  arbitraryTask.map(({ taskId, atMs }) => createKeyDone(taskId, atMs, 20)),
  arbitraryTask.map(({ taskId, atMs }) => ({ type: 'key-expired', key: taskId, atMs })),
  arbitraryTask.map(({ taskId, atMs }) => ({
    type: 'job-key-delegated',
    key: taskId,
    specDigest: 'd',
    partition: 'p.1',
    atMs,
  })),
  fc.tuple(arbitraryNumber, arbitraryTimeMs).map(([sequence, atMs]) => ({
    type: 'requests-counted',
    process: 'p',
    incarnation: String(atMs % 2),
    sequence,
    rows: [{ user: 'u', team: 't', service: 's', outcome: 'late', count: 2, waitMs: 5 }],
    atMs,
  })),
  fc.tuple(fc.integer({ min: 1, max: 3 }), arbitraryTimeMs).map(([day, atMs]) => ({
    type: 'period-closed',
    period: `1970-01-0${day}`,
    atMs,
  })),
);

/**
 * Formats every field of the state. The order of items counts, except in the two derived indexes.
 */
function formatState(journal: Journal): string {
  return JSON.stringify(journal.state(), (name, value: unknown) => {
    if (typeof value === 'bigint') return String(value);
    if (!(value instanceof Map || value instanceof Set)) return value;
    const items: unknown[] = [...value];
    return name === 'taskJobs' || name === 'jobKeys' ? items.sort() : items;
  });
}

test('the journal reaches the state of a full replay from a snapshot at any offset', () => {
  // Guards against a snapshot that lacks a field or changes an order, and against a record that is
  // skipped or applied twice because the snapshot was appended after later records.
  let resumedCount = 0;
  const batches = fc.array(fc.array(arbitraryEntry, { maxLength: 6 }), {
    minLength: 4,
    maxLength: 20,
  });
  const property = fc.property(batches, fc.nat(), fc.nat(), (entryBatches, position, delay) => {
    const writer = Journal.create('a.0');
    const records: JournalRecord[] = [createClaim('a', -1)];
    const snapshotIndex = 1 + (position % entryBatches.length);
    let snapshot: JournalRecord | undefined;
    entryBatches.forEach((entries, index) => {
      const [record] = encodeLog(records).slice(-1);
      if (record) writer.apply(record);
      // The snapshot is appended up to three records after it is built; its sequence number is stale.
      if (index === snapshotIndex) {
        const encoded = encodeRecord(writer.snapshot(0, index)).unwrapOr(new Uint8Array());
        snapshot = decodeRecord(encoded).unwrapOr(createClaim('none', -1));
      }
      if (index === snapshotIndex + (delay % 4) && snapshot) records.push(snapshot);
      if (index === snapshotIndex + (delay % 4))
        for (const lateRecord of encodeLog(records).slice(-2)) writer.apply(lateRecord);
      records.push(createCommit(0, index + 1, ...entries));
    });
    const encodedRecords = encodeLog(records);
    const fullReplay = replay(records).journal;
    for (let firstRetained = 1; firstRetained < encodedRecords.length; firstRetained += 1) {
      const reader = Journal.create('a.0');
      const read = () => {
        const from = Math.max(firstRetained, reader.nextOffset());
        reader.applyPage({
          firstRetained,
          end: encodedRecords.length,
          records: encodedRecords.slice(from),
        });
      };
      for (let reads = 0; reads < 3; reads += 1) read();
      const isLogged = snapshot !== undefined && records.includes(snapshot);
      const coversGap = snapshot?.type === 'snapshot' && snapshot.asOf + 1 >= firstRetained;
      expect(reader.hasState()).toEqual(coversGap && isLogged);
      if (!reader.hasState()) continue;
      resumedCount += 1;
      expect(formatState(reader)).toEqual(formatState(fullReplay));
      expect(reader.lastOwnerRecord()).toEqual(fullReplay.lastOwnerRecord());
    }
  });
  fc.assert(property, { seed, numRuns: 200 });
  console.log(`replays from a snapshot: ${resumedCount}`);
  expect(resumedCount).toBeGreaterThan(500);
});

test('the journal counts every ended request and job once and never changes a closed period', () => {
  // Guards against a repeated or late record that changes the totals after the report was printed.
  const assigned = { jobId: 'a.0:1', taskId: 'x', group: 0, worker: 'w', atMs: 1_000 };
  const counted = {
    type: 'requests-counted',
    process: 'p',
    incarnation: '1',
    sequence: 1,
    rows: [{ user: 'u', team: 't', service: 's', outcome: 'completed', count: 7, waitMs: 70 }],
    atMs: 9_000,
  } as const;
  const { journal } = replay([
    createClaim('a', -1),
    createCommit(0, 1, createJobAccepted(1, 500), { type: 'task-assigned', ...assigned }),
    createCommit(0, 2, { type: 'task-started', taskId: 'x', atMs: 1_500 }),
    createCommit(0, 3, { type: 'task-ended', taskId: 'x', outcome: 'completed', atMs: 3_500 }),
    createCommit(0, 4, createJobEnded(1, 4_000), createJobEnded(1, 5_000), counted, counted),
    createCommit(0, 5, { type: 'period-closed', period: '1970-01-01', atMs: DAY_MS - 1 }),
    createCommit(0, 6, { type: 'period-closed', period: '1970-01-01', atMs: DAY_MS }),
    createCommit(0, 7, createKeyClaimed('k', DAY_MS), createKeyDone('k', DAY_MS - 5)),
    createCommit(0, 8, { type: 'period-closed', period: '1970-01-01', atMs: DAY_MS + 1 }),
  ]);
  const { closedPeriods, openPeriods, ignoredEntries } = journal.state();
  expect(closedPeriods.map(({ period }) => period)).toEqual(['1970-01-01']);
  const common = { user: 'u', team: 't', outcome: 'completed' } as const;
  const row = { ...common, count: 8, waitMs: 1_070, millicoreMs: 4_000_000n, mibMs: 1_024_000n };
  expect(closedPeriods[0]?.rows).toEqual([row]);
  // The request that ended just before midnight and was recorded after its day was closed is
  // counted in the open day.
  const correction = openPeriods.get('1970-01-02')?.values().next().value;
  expect(correction).toEqual({ ...common, count: 1, waitMs: 0, millicoreMs: 0n, mibMs: 0n });
  // The repeated job end, the repeated request count, the closing of the period before it is over and
  // its second closing.
  expect(ignoredEntries).toEqual(4);
});

test('the journal limits the size of its state and keeps every key for its lifetime', () => {
  // Guards against a snapshot that grows without limit, and against a key that is removed too early,
  // when more jobs and keys end within a day than the limits keep.
  const journal = Journal.create('a.0');
  let offset = 0;
  const apply = (record: JournalRecord) => {
    const [logged] = encodeLog([record]);
    journal.apply({ offset: offset++, data: logged?.data ?? new Uint8Array() });
  };
  apply(createClaim('a', -1));
  apply(
    createCommit(0, 1, createKeyClaimed('unfinished', 0), {
      type: 'key-expired',
      key: 'unfinished',
      atMs: 0,
    }),
  );
  const jobs = 3 * JournalLimits.endedJobs;
  for (let job = 1; job <= jobs; job += 1) {
    const atMs = job * 10_000;
    const hasKey = job % 50 === 0;
    const key = `k${job}`;
    const entries = [
      createJobAccepted(job, atMs, hasKey ? key : undefined),
      createJobEnded(job, atMs),
    ];
    apply(
      createCommit(
        0,
        job + 1,
        ...entries,
        createKeyClaimed(key, atMs),
        createKeyDone(key, atMs, 4_096),
      ),
    );
    const state = journal.state();
    if (job % 1_000 !== 0) continue;
    expect(state.endedJobs.size <= JournalLimits.endedJobs).toEqual(true);
    expect(state.bodyBytes <= JournalLimits.allReplyBytes).toEqual(true);
    const unexpiredCount = Math.min(job, DAY_MS / 10_000);
    expect(state.doneKeys.size).toEqual(unexpiredCount);
    expect(state.endedKeyedJobs.size).toEqual(
      Math.floor(job / 50) - Math.floor((job - unexpiredCount) / 50),
    );
    expect(state.keys.has('unfinished')).toEqual(true);
  }
  const encoded = encodeRecord(journal.snapshot(0, jobs + 2));
  expect(encoded.isOk).toEqual(true);
});

test('the journal keeps a key for its lifetime when the wall clock of one process is days ahead', () => {
  // Guards against a second execution of a request: the counts of any process carry its wall time, and one entry
  // with a time far ahead removes keys whose lifetime has not passed.
  const { journal } = replay([
    createClaim('a', -1),
    createCommit(0, 1, createKeyClaimed('k', DAY_MS), createKeyDone('k', DAY_MS)),
    createCommit(0, 2, {
      type: 'requests-counted',
      process: 'b',
      incarnation: '1',
      sequence: 1,
      rows: [],
      atMs: 5 * DAY_MS,
    }),
    createCommit(0, 3, createKeyClaimed('k', DAY_MS + HOUR_MS)),
  ]);
  expect(journal.state().keys.get('k')?.outcome).toEqual('completed');
});
