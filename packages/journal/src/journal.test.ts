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

/** Creates a commit of an owner that has counted `termMs` in its term. */
function createTimedCommit(
  token: number,
  sequence: number,
  termMs: number,
  ...entries: JournalEntry[]
): JournalRecord {
  return { type: 'commit', token, sequence, termMs, entries };
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
  // Times between two commits; a commit of an earlier version states no time.
  const termTimes = fc.array(fc.option(fc.nat(DAY_MS), { nil: undefined }), { minLength: 20 });
  const arbitraries = [batches, fc.nat(), fc.nat(), termTimes] as const;
  const property = fc.property(...arbitraries, (entryBatches, position, delay, times) => {
    const writer = Journal.create('a.0');
    // An earlier term, so that the time of the partition does not start with the current one.
    const records: JournalRecord[] = [
      createClaim('a', -1),
      createTimedCommit(0, 1, 5 * HOUR_MS),
      createClaim('b', 1),
    ];
    for (const record of encodeLog(records).slice(0, -1)) writer.apply(record);
    const token = records.length - 1;
    const snapshotIndex = 1 + (position % entryBatches.length);
    let snapshot: JournalRecord | undefined;
    let termMs = 0;
    entryBatches.forEach((entries, index) => {
      const [record] = encodeLog(records).slice(-1);
      if (record) writer.apply(record);
      // The snapshot is appended up to three records after it is built; its sequence number is stale.
      if (index === snapshotIndex) {
        const encoded = encodeRecord(writer.snapshot(token, index)).unwrapOr(new Uint8Array());
        snapshot = decodeRecord(encoded).unwrapOr(createClaim('none', -1));
      }
      if (index === snapshotIndex + (delay % 4) && snapshot) records.push(snapshot);
      if (index === snapshotIndex + (delay % 4))
        for (const lateRecord of encodeLog(records).slice(-2)) writer.apply(lateRecord);
      termMs += times[index] ?? 0;
      records.push(
        times[index] === undefined
          ? createCommit(token, index + 1, ...entries)
          : createTimedCommit(token, index + 1, termMs, ...entries),
      );
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
      createTimedCommit(
        0,
        job + 1,
        atMs,
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

/**
 * Records of the version before the time of the partition: a claim, a commit with a job, a key, a delegated key
 * and a request count that ended at the wall time of one day, a snapshot after it, and a commit with another key.
 */
const earlierRecords = [
  [
    '3gADpHR5cGWlY2xhaW2maG9sZGVy3gADp3Byb2Nlc3OhYatpbmNhcm5hdGlvbqExqmRhdGFDZW50cmWhYahyZXBs',
    'YWNlc/8=',
  ],
  [
    '3gAEpHR5cGWmY29tbWl0pXRva2VuAKhzZXF1ZW5jZQGnZW50cmllc5beAASkdHlwZaxqb2ItYWNjZXB0ZWSlam9i',
    'SWSlYS4wOjGkc3BlY94ACKZmYW1pbHmhZqR1c2VyoXWkdGVhbaF0pGtpbmSlYmF0Y2imZ3JvdXBzkd4AA6RuYW1l',
    'oWelY291bnQBqXJlc291cmNlc94AA6ptaWxsaWNvcmVzzQfQqW1lbW9yeU1pYs0CAKxhY2NlbGVyYXRvcnPeAACm',
    'dXJnZW50wqpyZXBlYXRhYmxlwqNrZXmiamukYXRNc84FJlwA3gAFpHR5cGWpam9iLWVuZGVkpWpvYklkpWEuMDox',
    'p291dGNvbWWpY29tcGxldGVkpnJlYXNvbqCkYXRNc84FJlwA3gAHpHR5cGWra2V5LWNsYWltZWSja2V5omsxrXJl',
    'cXVlc3REaWdlc3ShZKdzZXJ2aWNloXOkdXNlcqF1pHRlYW2hdKRhdE1zzgUmXADeAAWkdHlwZahrZXktZG9uZaNr',
    'ZXmiazGnb3V0Y29tZaljb21wbGV0ZWSlcmVwbHnApGF0TXPOBSZcAN4ABaR0eXBlsWpvYi1rZXktZGVsZWdhdGVk',
    'o2tleaJka6pzcGVjRGlnZXN0oWSpcGFydGl0aW9uo3AuMaRhdE1zzgUmXADeAAakdHlwZbByZXF1ZXN0cy1jb3Vu',
    'dGVkp3Byb2Nlc3OhcKtpbmNhcm5hdGlvbqExqHNlcXVlbmNlA6Ryb3dzkKRhdE1zzgUmXAA=',
  ],
  [
    '3gAFpHR5cGWoc25hcHNob3SldG9rZW4AqHNlcXVlbmNlAqRhc09mAaVzdGF0Zd4AAqhwb3NpdGlvbt4ABaV0b2tl',
    'bgCoc2VxdWVuY2UBr2xhc3RPd25lclJlY29yZAGmZm9ybWVykKZob2xkZXLeAAOncHJvY2Vzc6Fhq2luY2FybmF0',
    'aW9uoTGqZGF0YUNlbnRyZaFhpXN0YXRl3gAQp3ZlcnNpb24BpGpvYnOR3gAPpWpvYklkpWEuMDoxpHNwZWPeAAim',
    'ZmFtaWx5oWakdXNlcqF1pHRlYW2hdKRraW5kpWJhdGNopmdyb3Vwc5HeAAOkbmFtZaFnpWNvdW50AalyZXNvdXJj',
    'ZXPeAAOqbWlsbGljb3Jlc80H0KltZW1vcnlNaWLNAgCsYWNjZWxlcmF0b3Jz3gAApnVyZ2VudMKqcmVwZWF0YWJs',
    'ZcKja2V5omprpXN0YXRlpWVuZGVkp291dGNvbWWpY29tcGxldGVkpnJlYXNvbqCsYWNjZXB0ZWRBdE1zzgUmXACr',
    'c3RhcnRlZEF0TXPAqWVuZGVkQXRNc84FJlwAqmNhbmNlbEF0TXPApXRhc2tzkKplbmRlZFRhc2tzkKVlbmRlZJHe',
    'AAapY29tcGxldGVkAKZmYWlsZWQAp3JlZnVzZWQAp3N0b3BwZWQArGNoZWNrcG9pbnRlZACmbGFwc2VkAKdydW5u',
    'aW5nAKttaWxsaWNvcmVNc9MAAAAAAAAAAKVtaWJNc9MAAAAAAAAAALBkZWxlZ2F0ZWRKb2JLZXlzkd4ABKNrZXmi',
    'ZGuqc3BlY0RpZ2VzdKFkqXBhcnRpdGlvbqNwLjGkYXRNc84FJlwApGtleXOR3gAJo2tleaJrMa1yZXF1ZXN0RGln',
    'ZXN0oWSnc2VydmljZaFzpHVzZXKhdaR0ZWFtoXSrY2xhaW1lZEF0TXPOBSZcAKdvdXRjb21lqWNvbXBsZXRlZKVy',
    'ZXBsecCoZG9uZUF0TXPOBSZcAKVhcm1lZJCrb3BlblBlcmlvZHORkqoxOTcwLTAxLTAykZK1WyJ1IiwidCIsImNv',
    'bXBsZXRlZCJd3gAHpHVzZXKhdaR0ZWFtoXSnb3V0Y29tZaljb21wbGV0ZWSlY291bnQCpndhaXRNcwCrbWlsbGlj',
    'b3JlTXPTAAAAAAAAAAClbWliTXPTAAAAAAAAAACqb3BlblBlcmlvZKoxOTcwLTAxLTAyrWNsb3NlZFBlcmlvZHOQ',
    'p2NvdW50ZWSRkqNwIDHeAAKoc2VxdWVuY2UDpGF0TXPOBSZcAK1uZXh0Sm9iTnVtYmVyAqllbmRlZEpvYnOQrmVu',
    'ZGVkS2V5ZWRKb2JzkaVhLjA6Mahkb25lS2V5c5GiazGsa2V5c1dpdGhCb2R5kKlib2R5Qnl0ZXMArmlnbm9yZWRF',
    'bnRyaWVzAA==',
  ],
  [
    '3gAEpHR5cGWmY29tbWl0pXRva2VuAKhzZXF1ZW5jZQOnZW50cmllc5LeAAekdHlwZatrZXktY2xhaW1lZKNrZXmi',
    'azKtcmVxdWVzdERpZ2VzdKFkp3NlcnZpY2Whc6R1c2VyoXWkdGVhbaF0pGF0TXPOBV1KgN4ABaR0eXBlqGtleS1k',
    'b25lo2tleaJrMqdvdXRjb21lqWNvbXBsZXRlZKVyZXBsecCkYXRNc84FXUqA',
  ],
].map((parts) => new Uint8Array(Buffer.from(parts.join(''), 'base64')));

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

test('the journal keeps jobs, delegated keys and request counts when the wall clock of one process is days ahead', () => {
  // Guards against an ended job that is not found any more, a second job with a key that was delegated, and
  // requests that are counted twice, after one entry with a time far ahead.
  const counts = { type: 'requests-counted', process: 'b', incarnation: '1', rows: [] } as const;
  const { journal } = replay([
    createClaim('a', -1),
    createCommit(0, 1, createJobAccepted(1, DAY_MS, 'j'), createJobEnded(1, DAY_MS)),
    createCommit(0, 2, createJobAccepted(2, DAY_MS), createJobEnded(2, DAY_MS)),
    createCommit(0, 3, {
      type: 'job-key-delegated',
      key: 'd',
      specDigest: 'd',
      partition: 'p.1',
      atMs: DAY_MS,
    }),
    createCommit(0, 4, { ...counts, sequence: 1, atMs: DAY_MS }),
    createCommit(0, 5, createKeyClaimed('k', 40 * DAY_MS)),
    createCommit(0, 6, { ...counts, incarnation: '2', sequence: 1, atMs: DAY_MS }),
  ]);
  const { jobs, delegatedJobKeys, counted } = journal.state();
  expect([[...jobs.keys()], [...delegatedJobKeys.keys()], [...counted.keys()]]).toEqual([
    ['a.0:1', 'a.0:2'],
    ['d'],
    ['b 1', 'b 2'],
  ]);
});

test('the journal removes a key when the terms of its owners since the outcome add up to its lifetime', () => {
  // Guards against a lifetime that restarts with each owner, that counts the time between two terms, or that a
  // record with an odd time shortens.
  const { journal } = replay([
    createClaim('a', -1),
    createTimedCommit(0, 1, 10 * DAY_MS, createKeyClaimed('k', DAY_MS), createKeyDone('k', DAY_MS)),
    createTimedCommit(0, 2, 10 * DAY_MS + 20 * HOUR_MS, createKeyClaimed('k1', DAY_MS)),
    createClaim('b', 2),
    createTimedCommit(3, 1, 4 * HOUR_MS - 1, createKeyClaimed('k2', 90 * DAY_MS)),
    createTimedCommit(3, 2, Number.NaN, createKeyClaimed('k3', DAY_MS)),
    createTimedCommit(3, 3, -90 * DAY_MS, createKeyClaimed('k4', DAY_MS)),
    createTimedCommit(3, 4, 1.5, createKeyClaimed('k5', DAY_MS)),
  ]);
  expect([...journal.state().keys.keys()]).toEqual(['k', 'k1', 'k2', 'k3', 'k4', 'k5']);
  const [record] = encodeLog([createTimedCommit(3, 5, 4 * HOUR_MS, createKeyClaimed('k6', 1))]);
  journal.apply({ offset: 8, data: record?.data ?? new Uint8Array() });
  expect([...journal.state().keys.keys()]).toEqual(['k1', 'k2', 'k3', 'k4', 'k5', 'k6']);
});

/** Applies commits of a new owner, whose claim has the given offset, until its term has lasted a day. */
function applyDay(journal: Journal, claimOffset: number): string[][] {
  const records = [
    createClaim('b', claimOffset - 1),
    createTimedCommit(claimOffset, 1, DAY_MS - 1, createKeyClaimed('k3', 30 * DAY_MS)),
    createTimedCommit(claimOffset, 2, DAY_MS, createKeyClaimed('k4', 30 * DAY_MS)),
  ];
  return records.map((record, index) => {
    const [encoded] = encodeLog([record]);
    journal.apply({ offset: claimOffset + index, data: encoded?.data ?? new Uint8Array() });
    const { jobs, keys, delegatedJobKeys, counted } = journal.state();
    return [jobs, keys, delegatedJobKeys, counted].flatMap((items) => [...items.keys()]);
  });
}

const keptItems = [
  ['a.0:1', 'k1', 'k2', 'dk', 'p 1'],
  ['a.0:1', 'k1', 'k2', 'k3', 'dk', 'p 1'],
  ['k3', 'k4', 'dk'],
];

test('the journal keeps the items of records and snapshots of an earlier version for their lifetime from its next owner', () => {
  // Guards against records of a running earlier version that a later one cannot read, and against items that are
  // removed early because such a record states no time of the partition.
  for (const firstRetained of [0, 2]) {
    const journal = Journal.create('a.0');
    const records = earlierRecords.map((data, offset) => ({ offset, data }));
    for (let reads = 0; reads < 2; reads += 1) {
      const from = Math.max(firstRetained, journal.nextOffset());
      journal.applyPage({ firstRetained, end: records.length, records: records.slice(from) });
    }
    expect([journal.hasState(), journal.malformedRecords()]).toEqual([true, 0]);
    expect(applyDay(journal, records.length)).toEqual(keptItems);
  }
});

test('the journal restarts the lifetimes when an earlier version has written a snapshot after reading a newer one', () => {
  // Guards against ages that refer to a time of the partition which the snapshot does not contain.
  const writer = Journal.create('a.0');
  const data = (record: JournalRecord) => encodeLog([record])[0]?.data ?? new Uint8Array();
  earlierRecords.forEach((record, offset) => writer.apply({ offset, data: record }));
  writer.apply({ offset: 4, data: data(createTimedCommit(0, 4, 23 * HOUR_MS)) });
  const delegated = { type: 'job-key-delegated', specDigest: 'd', partition: 'p.1' } as const;
  const entries = [createKeyDone('k', DAY_MS), { ...delegated, key: 'dk2', atMs: DAY_MS }];
  const commit = createTimedCommit(0, 5, 23 * HOUR_MS, createKeyClaimed('k', DAY_MS), ...entries);
  writer.apply({ offset: 5, data: data(commit) });
  const snapshot = writer.snapshot(0, 6) as JournalRecord & {
    type: 'snapshot';
    state: { state: Record<string, unknown> };
  };
  // An earlier version keeps the objects of the items as it read them, and writes only the fields of the state
  // that it knows.
  delete snapshot.state.state.elapsedMs;
  delete snapshot.state.state.termStartMs;
  const reader = Journal.create('a.0');
  const records = [{ offset: 6, data: data(snapshot) }];
  reader.applyPage({ firstRetained: 6, end: 7, records });
  expect([reader.hasState(), reader.nextOffset()]).toEqual([true, 6]);
  reader.applyPage({ firstRetained: 6, end: 7, records });
  expect(applyDay(reader, 7)).toEqual([
    ['a.0:1', 'k1', 'k2', 'k', 'dk', 'dk2', 'p 1'],
    ['a.0:1', 'k1', 'k2', 'k', 'k3', 'dk', 'dk2', 'p 1'],
    ['k3', 'k4', 'dk', 'dk2'],
  ]);
});

test('the journal writes all fields that an earlier version requires in a commit and in a snapshot', () => {
  // Guards against a running earlier version that rejects the records of a later owner and takes it for dead.
  const journal = Journal.create('a.0');
  const encoded = encodeLog([
    createClaim('a', -1),
    createTimedCommit(0, 1, 5, createKeyClaimed('k', DAY_MS), createKeyDone('k', DAY_MS)),
  ]);
  for (const record of encoded) journal.apply(record);
  const snapshot = encodeRecord(journal.snapshot(0, 2)).unwrapOr(new Uint8Array());
  expect(packer.unpack(encoded[1]?.data ?? new Uint8Array())).toLooseEqual({
    type: 'commit',
    token: 0,
    sequence: 1,
    termMs: 5,
    entries: [createKeyClaimed('k', DAY_MS), createKeyDone('k', DAY_MS)],
  });
  const { state } = packer.unpack(snapshot) as { state: { state: Record<string, unknown> } };
  const required = [
    ...['version', 'jobs', 'keys', 'armed', 'openPeriods', 'openPeriod', 'closedPeriods'],
    ...['counted', 'nextJobNumber', 'endedJobs', 'endedKeyedJobs', 'doneKeys', 'keysWithBody'],
    ...['bodyBytes', 'ignoredEntries'],
  ];
  expect(required.filter((name) => state.state[name] === undefined)).toEqual([]);
  expect(state.state.version).toEqual(1);
  expect((state.state.keys as { doneAtMs: number }[])[0]?.doneAtMs).toEqual(DAY_MS);
});
