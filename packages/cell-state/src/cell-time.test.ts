import { test } from 'node:test';
import { expect } from 'earl';
import { Packr } from 'msgpackr';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import { Random } from '@acaciahoist/random';
import { plainStep } from '@acaciahoist/cell-types/plain-step';
import { CellState } from './cell-state.js';
import { snapshotCodec } from './snapshot-codec.js';

/** Retention time of ended jobs in ms; not a multiple of the interval of renewals, after which jobs are removed. */
const RETENTION_MS = 2_003;
/** Number of events of one log. */
const EVENT_COUNT = 400;
/** Minimum time in ms between two renewals of an owner. */
const RENEW_MS = 250;

/** Maximum time in ms by which the timer of a renewal is late in a calm log. */
const MAX_TIMER_DELAY_MS = 0.1;

/** A record and the true time in ms at which the store appended it. */
interface LoggedRecord {
  record: CellRecord;
  atMs: number;
}

/** State of the owner while a log is generated; times are true times in ms. */
interface Term {
  token: number;
  isEarlierVersion: boolean;
  appliedAtMs: number;
  lastBuiltAtMs: number;
  lastAppendedAtMs: number;
}

function createJobRecord(id: string): CellRecord {
  return {
    kind: 'job',
    job: {
      id,
      queue: { name: 'q', service: 's', priority: 1, maxAttempts: 2, stretch: 2, baseMs: 0 },
      payload: '',
      steps: [plainStep],
      occurrences: 1,
      firstRunMs: 0,
      intervalMs: 0,
      receivedMs: 0,
    },
  };
}

/**
 * Generates a log: jobs that are accepted and cancelled, and owners of this and of an earlier version that
 * replace each other. In a calm log each owner renews at its interval and a successor follows at once;
 * otherwise renewals are late.
 */
function generateLog(random: Random, isCalm: boolean): LoggedRecord[] {
  const log: LoggedRecord[] = [];
  let nowMs = 0;
  let term: Term | undefined;
  const append = (record: CellRecord): void => {
    log.push({ record, atMs: nowMs });
  };
  const claim = (token: number): Term => {
    append({ kind: 'claim', owner: `p${token}`, address: 'x', token, wallMs: random.next() * 1e9 });
    const appliedAtMs = isCalm ? nowMs : nowMs + random.next() * 20;
    const isEarlierVersion = random.next() < 0.3;
    return {
      token,
      isEarlierVersion,
      appliedAtMs,
      lastBuiltAtMs: appliedAtMs,
      lastAppendedAtMs: appliedAtMs,
    };
  };
  const renew = (former: Term): Term => {
    const earliestMs = Math.max(former.lastBuiltAtMs + RENEW_MS, former.lastAppendedAtMs);
    if (earliestMs > nowMs) return former;
    const builtAtMs = isCalm || random.next() < 0.5 ? nowMs : earliestMs;
    const appliedCount = log.filter(({ atMs }) => atMs <= builtAtMs).length;
    const wallMs = random.next() * 1e9;
    const times = {
      token: former.token,
      termMs: Math.floor(builtAtMs - former.appliedAtMs),
      asOfOffset: Math.max(0, appliedCount - (isCalm ? 0 : random.integer(0, 2))),
    };
    append({ kind: 'renew', wallMs, ...(former.isEarlierVersion ? {} : times) });
    return { ...former, lastBuiltAtMs: builtAtMs, lastAppendedAtMs: nowMs };
  };
  for (let event = 0; event < EVENT_COUNT; event += 1) {
    nowMs += isCalm
      ? RENEW_MS + MAX_TIMER_DELAY_MS * random.next()
      : random.pickSkewed([90, 0, 900]) * random.next();
    if (isCalm || random.next() < 0.5) {
      append(createJobRecord(`${event}`));
      append({ kind: 'cancel', id: `${event}` });
    }
    if (term !== undefined && (isCalm || random.next() < 0.5)) term = renew(term);
    if (term === undefined || random.next() < (isCalm ? 0.5 : 0.06))
      term = claim((term?.token ?? 0) + 1);
  }
  return log;
}

const packr = new Packr({ useRecords: true, mapsAsObjects: true });

/** Returns the state as a process loads it from a snapshot, which may be one of an earlier version. */
function reload(state: CellState, isEarlierVersion: boolean): CellState {
  const data = snapshotCodec.encode(state);
  if (!isEarlierVersion) return snapshotCodec.decode(data, RETENTION_MS);
  const content = packr.unpack(data) as Record<string, unknown> & {
    ended: Record<string, unknown>[];
  };
  delete content.cellTimeMs;
  delete content.termStartMs;
  for (const ended of content.ended) delete ended.retainedFromMs;
  return snapshotCodec.decode(packr.pack(content), RETENTION_MS);
}

// Guards against an ended job that becomes unknown too early for any order of owners, late renewals, versions
// and snapshots.
test('the state keeps an ended job for the retention time in any log', () => {
  const violations: string[] = [];
  for (let seed = 1; seed <= 400; seed += 1) {
    const random = Random.create(seed);
    let state = CellState.create(RETENTION_MS);
    const endedAtMs = new Map<string, number>();
    for (const { record, atMs } of generateLog(random, seed % 2 === 0)) {
      state.apply(record);
      if (record.kind === 'cancel') endedAtMs.set(record.id, atMs);
      if (random.next() < 0.02) state = reload(state, random.next() < 0.3);
      for (const [id, endMs] of endedAtMs) {
        if (state.ended.has(id)) continue;
        if (atMs < endMs + RETENTION_MS)
          violations.push(`seed ${seed}: job ${id} removed after ${atMs - endMs} ms`);
        endedAtMs.delete(id);
      }
    }
  }
  expect(violations).toEqual([]);
});
