import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import type { JournalRecord } from '@acaciahoist/types/journal-record';
import type { LogRecord } from '@acaciahoist/types/log-record';
import { decodeRecord } from './decode-record.js';
import { encodeRecord } from './encode-record.js';
import { Journal } from './index.js';
import { JournalLimits } from './journal-limits.js';
import { packer } from './packer.js';

const seed = Number(process.env.TEST_SEED ?? 20_261_204);
console.log(`seed ${seed}: journal`);

const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;

function claim(process: string, replaces: number): JournalRecord {
  return { type: 'claim', holder: { process, incarnation: '1', dataCentre: 'a' }, replaces };
}

function commit(token: number, sequence: number, ...entries: JournalEntry[]): JournalRecord {
  return { type: 'commit', token, sequence, entries };
}

function log(records: readonly JournalRecord[]): LogRecord[] {
  return records.map((record, offset) => ({
    offset,
    data: encodeRecord(record).unwrapOr(new Uint8Array()),
  }));
}

function replay(records: readonly JournalRecord[]) {
  const journal = Journal.create('a.0');
  const verdicts = log(records).map((record) => {
    const verdict = journal.apply(record);
    return verdict.type === 'ignored' ? verdict.reason : verdict.type;
  });
  return { journal, verdicts };
}

function accepted(number: number, atMs: number, key?: string): JournalEntry {
  const resources = { millicores: 2_000, memoryMib: 512, accelerators: {} };
  const groups = [{ name: 'g', count: 1, resources }];
  const job = { family: 'f', user: 'u', team: 't', kind: 'batch', groups, urgent: false } as const;
  const spec = { ...job, repeatable: key === undefined, ...(key !== undefined && { key }) };
  return { type: 'job-accepted', jobId: `a.0:${number}`, spec, atMs };
}

function ended(number: number, atMs: number): JournalEntry {
  return { type: 'job-ended', jobId: `a.0:${number}`, outcome: 'completed', reason: '', atMs };
}

function claimed(key: string, atMs: number): JournalEntry {
  const request = { requestDigest: 'd', service: 's', user: 'u', team: 't' };
  return { type: 'key-claimed', key, ...request, atMs };
}

function done(key: string, atMs: number, bytes = 0): JournalEntry {
  const body = new Uint8Array(bytes);
  const reply = { status: 200, contentType: 'text/plain', body, bodyDigest: 'd' };
  return { type: 'key-done', key, outcome: 'completed', reply, atMs };
}

test('offsets alone decide which claims and owner records are valid', () => {
  // Guards against two readers that disagree on the owner, and against records of a former owner.
  const { journal, verdicts } = replay([
    claim('a', -1),
    claim('b', -1), // did not read the claim of a
    commit(0, 1, claimed('k1', 1)),
    claim('c', 0), // a committed after offset 0
    claim('d', 2),
    commit(0, 2, claimed('k2', 1)), // a is no longer the owner
    commit(4, 1, claimed('k3', 1)),
    commit(4, 1, claimed('k4', 1)), // repeated sequence number
    { type: 'release', token: 4, sequence: 2 },
    commit(4, 3),
    claim('e', 6), // did not read the release
    claim('f', 8),
    claim('g', 99), // names an offset that it cannot have read
  ]);
  expect(verdicts).toEqual([
    ...(['applied', 'stale-claim', 'applied', 'stale-claim', 'applied', 'stale-token'] as const),
    ...(['applied', 'duplicate', 'applied', 'stale-token', 'stale-claim', 'applied'] as const),
    'stale-claim',
  ]);
  expect([...journal.state().keys.keys()]).toEqual(['k1', 'k3']);
  expect([journal.holder()?.process, journal.token()]).toEqual(['f', 11]);
  expect([journal.sequenceOf(0), journal.sequenceOf(4)]).toEqual([1, 2]);
});

test('malformed bytes give an error, and every reader ignores them', () => {
  // Guards against an exception that stops every reader of the stream at the same record.
  const valid = encodeRecord(commit(0, 1, accepted(1, 1), done('k', 2, 10))).unwrapOr(
    new Uint8Array(),
  );
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
    const verdict = journal.apply({ offset: 0, data });
    expect(verdict.type === 'ignored' && verdict.reason === 'malformed').toEqual(decoded.isErr);
    expect(journal.nextOffset()).toEqual(1);
  });
  fc.assert(property, { seed, numRuns: 2_000 });
});

const times = fc.integer({ min: 1, max: 3 * DAY_MS });
const number = fc.integer({ min: 1, max: 4 });
const task = fc.record({
  jobId: number.map((n) => `a.0:${n}`),
  taskId: number.map(String),
  atMs: times,
});
const entry = fc.oneof<fc.Arbitrary<JournalEntry>[]>(
  fc.tuple(number, times, fc.constantFrom(undefined, 'j')).map((values) => accepted(...values)),
  fc.tuple(number, times).map((values) => ended(...values)),
  task.map((value) => ({ type: 'task-assigned', group: 0, worker: 'w', ...value })),
  task.map((value) => ({ type: 'task-armed', group: 0, worker: 'w', ...value })),
  task.map(({ taskId, atMs }) => ({ type: 'task-started', taskId, atMs })),
  task.map(({ taskId, atMs }) => ({ type: 'task-ended', taskId, outcome: 'completed', atMs })),
  task.map(({ jobId, atMs }) => ({ type: 'cancel-requested', jobId, atMs })),
  task.map(({ taskId, atMs }) => claimed(taskId, atMs)),
  task.map(({ taskId, atMs }) => done(taskId, atMs, 20)),
  task.map(({ taskId, atMs }) => ({ type: 'key-expired', key: taskId, atMs })),
  task.map(({ taskId, atMs }) => ({
    type: 'job-key-delegated',
    key: taskId,
    specDigest: 'd',
    partition: 'p.1',
    atMs,
  })),
  fc.tuple(number, times).map(([sequence, atMs]) => ({
    type: 'requests-counted',
    process: 'p',
    incarnation: String(atMs % 2),
    sequence,
    rows: [{ user: 'u', team: 't', service: 's', outcome: 'late', count: 2, waitMs: 5 }],
    atMs,
  })),
  fc.tuple(fc.integer({ min: 1, max: 3 }), times).map(([day, atMs]) => ({
    type: 'period-closed',
    period: `1970-01-0${day}`,
    atMs,
  })),
);

/** Every field of the state with the order of its items, except for the two derived indexes. */
function showState(journal: Journal): string {
  return JSON.stringify(journal.state(), (name, value: unknown) => {
    if (typeof value === 'bigint') return String(value);
    if (!(value instanceof Map || value instanceof Set)) return value;
    const items: unknown[] = [...value];
    return name === 'taskJobs' || name === 'jobKeys' ? items.sort() : items;
  });
}

test('replay from any snapshot reaches the state of a full replay', () => {
  // Guards against a field that a snapshot lacks, an order that it changes, and a record around it
  // that is left out or applied twice.
  let resumed = 0;
  const batches = fc.array(fc.array(entry, { maxLength: 6 }), { minLength: 4, maxLength: 20 });
  const property = fc.property(batches, fc.nat(), fc.nat(), (lists, position, delay) => {
    const writer = Journal.create('a.0');
    const records: JournalRecord[] = [claim('a', -1)];
    const at = 1 + (position % lists.length);
    let snapshot: JournalRecord | undefined;
    lists.forEach((entries, index) => {
      const [record] = log(records).slice(-1);
      if (record) writer.apply(record);
      // The snapshot lands up to three records after it was built, with a stale sequence number.
      if (index === at) {
        const encoded = encodeRecord(writer.snapshot(0, index)).unwrapOr(new Uint8Array());
        snapshot = decodeRecord(encoded).unwrapOr(claim('none', -1));
      }
      if (index === at + (delay % 4) && snapshot) records.push(snapshot);
      if (index === at + (delay % 4)) for (const late of log(records).slice(-2)) writer.apply(late);
      records.push(commit(0, index + 1, ...entries));
    });
    const all = log(records);
    const full = replay(records).journal;
    for (let firstRetained = 1; firstRetained < all.length; firstRetained += 1) {
      const reader = Journal.create('a.0');
      const read = () => {
        const from = Math.max(firstRetained, reader.nextOffset());
        reader.applyPage({ firstRetained, end: all.length, records: all.slice(from) });
      };
      for (let reads = 0; reads < 3; reads += 1) read();
      const isLogged = snapshot !== undefined && records.includes(snapshot);
      const covers = snapshot?.type === 'snapshot' && snapshot.asOf + 1 >= firstRetained;
      expect(reader.hasState()).toEqual(covers && isLogged);
      if (!reader.hasState()) continue;
      resumed += 1;
      expect(showState(reader)).toEqual(showState(full));
      expect(reader.lastOwnerRecord()).toEqual(full.lastOwnerRecord());
    }
  });
  fc.assert(property, { seed, numRuns: 200 });
  console.log(`replays from a snapshot: ${resumed}`);
  expect(resumed).toBeGreaterThan(500);
});

test('totals count every ended request and job once, and a closed period stays as it is', () => {
  // Guards against totals that a repeated or late record changes after the report was printed.
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
    claim('a', -1),
    commit(0, 1, accepted(1, 500), { type: 'task-assigned', ...assigned }),
    commit(0, 2, { type: 'task-started', taskId: 'x', atMs: 1_500 }),
    commit(0, 3, { type: 'task-ended', taskId: 'x', outcome: 'completed', atMs: 3_500 }),
    commit(0, 4, ended(1, 4_000), ended(1, 5_000), counted, counted),
    commit(0, 5, { type: 'period-closed', period: '1970-01-01', atMs: DAY_MS - 1 }),
    commit(0, 6, { type: 'period-closed', period: '1970-01-01', atMs: DAY_MS }),
    commit(0, 7, claimed('k', DAY_MS), done('k', DAY_MS - 5)),
    commit(0, 8, { type: 'period-closed', period: '1970-01-01', atMs: DAY_MS + 1 }),
  ]);
  const { closedPeriods, openPeriods, ignoredEntries } = journal.state();
  expect(closedPeriods.map(({ period }) => period)).toEqual(['1970-01-01']);
  const common = { user: 'u', team: 't', outcome: 'completed' } as const;
  const row = { ...common, count: 8, waitMs: 1_070, millicoreMs: 4_000_000n, mibMs: 1_024_000n };
  expect(closedPeriods[0]?.rows).toEqual([row]);
  // The request that ended just before midnight but was recorded after the closing counts in the open day.
  const correction = openPeriods.get('1970-01-02')?.values().next().value;
  expect(correction).toEqual({ ...common, count: 1, waitMs: 0, millicoreMs: 0n, mibMs: 0n });
  // Repeated job end, repeated count, closing before midnight, second closing.
  expect(ignoredEntries).toEqual(4);
});

test('the state stays bounded while keys keep their lifetime', () => {
  // Guards against a snapshot that grows without end, and against a key that is forgotten too early.
  const journal = Journal.create('a.0');
  let offset = 0;
  const apply = (record: JournalRecord) => {
    const [logged] = log([record]);
    journal.apply({ offset: offset++, data: logged?.data ?? new Uint8Array() });
  };
  apply(claim('a', -1));
  apply(
    commit(0, 1, claimed('unfinished', 0), { type: 'key-expired', key: 'unfinished', atMs: 0 }),
  );
  const jobs = 3 * JournalLimits.endedJobs;
  for (let job = 1; job <= jobs; job += 1) {
    const atMs = job * 10_000;
    const keyed = job % 50 === 0;
    const key = `k${job}`;
    const entries = [accepted(job, atMs, keyed ? key : undefined), ended(job, atMs)];
    apply(commit(0, job + 1, ...entries, claimed(key, atMs), done(key, atMs, 4_096)));
    const state = journal.state();
    if (job % 1_000 !== 0) continue;
    expect(state.endedJobs.size <= JournalLimits.endedJobs).toEqual(true);
    expect(state.bodyBytes <= JournalLimits.allReplyBytes).toEqual(true);
    const alive = Math.min(job, DAY_MS / 10_000);
    expect(state.doneKeys.size).toEqual(alive);
    expect(state.endedKeyedJobs.size).toEqual(
      Math.floor(job / 50) - Math.floor((job - alive) / 50),
    );
    expect(state.keys.has('unfinished')).toEqual(true);
  }
  const encoded = encodeRecord(journal.snapshot(0, jobs + 2));
  expect(encoded.isOk).toEqual(true);
});
