import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { pack, unpack } from 'msgpackr';
import { Outcome } from '@acaciahoist/types/outcome';
import type { AccountEntry } from './account-entry.js';
import type { AccountState } from './account-state.js';
import type { ClosedPeriod } from './closed-period.js';
import type { Correction } from './correction.js';
import { emptyRow } from './empty-row.js';
import { AccountBook } from './account-book.js';
import { periodBounds } from './period-bounds.js';
import { periodName } from './period-name.js';
import { rowLines } from './row-lines.js';
import { verifyChain } from './verify-chain.js';

/** Fixed, so that every execution tests the same cases; set SEED for other cases. */
const seed = Number(process.env.SEED ?? 20_261_204);
const DAY_MS = 86_400_000;

const arbitraryEntry: fc.Arbitrary<AccountEntry> = fc.record({
  user: fc.constantFrom('capsula', 'luz-norte', 'with "quote"\n'),
  team: fc.constantFrom('a', 'b'),
  outcome: fc.constantFrom(...Object.values(Outcome)),
  count: fc.nat(),
  waitMs: fc.nat(),
  millicoreMs: fc.bigInt(0n, 2n ** 60n),
  memoryMibMs: fc.bigInt(0n, 2n ** 60n),
});
const arbitraryCorrection: fc.Arbitrary<Correction> = fc.record({
  id: fc.nat(20).map((index) => `c${index}`),
  corrects: fc.constantFrom('2026-12-01', '2026-12-02', '2026-12'),
  operator: fc.constant('olga'),
  reason: fc.string(),
  change: fc.integer().map((waitMs) => ({ ...emptyRow('capsula', 'a'), waitMs })),
});
const arbitraryAtMs = fc
  .nat(5)
  .map((day) => (periodBounds('2026-12-01')?.startMs ?? 0) + day * DAY_MS);
const arbitraryLength = fc.constantFrom('day' as const, 'month' as const);
const arbitraryStep = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      action: fc.constant('add' as const),
      entry: arbitraryEntry,
      atMs: arbitraryAtMs,
      length: arbitraryLength,
    }),
  },
  fc.record({
    action: fc.constant('correct' as const),
    correction: arbitraryCorrection,
    atMs: arbitraryAtMs,
    length: arbitraryLength,
  }),
  fc.record({
    action: fc.constant('close' as const),
    atMs: arbitraryAtMs,
    length: arbitraryLength,
  }),
  fc.record({ action: fc.constant('restore' as const) }),
);

function formatPeriod(period: ClosedPeriod): string {
  const rows = period.rows.map((row) => rowLines.formatRow(row));
  const corrections = period.corrections.map((correction) => rowLines.formatCorrection(correction));
  return [period.period, period.previousDigest, period.digest, ...rows, ...corrections].join('\n');
}

function restore(account: AccountBook): AccountBook {
  const state = unpack(pack(account.state())) as AccountState;
  return AccountBook.restore(state).unwrapOrElse((failure) => {
    throw new Error(failure.message);
  });
}

test('the account never changes a closed period and counts each entry once', (t) => {
  // Guards against a closed period that changes, and an entry that is lost or counted twice, when
  // entries, corrections, closings and restarts come in any order.
  t.diagnostic(`seed ${seed}`);
  const property = fc.property(fc.array(arbitraryStep, { maxLength: 40 }), (steps) => {
    let account = AccountBook.create('a.0');
    let added = 0n;
    const ids = new Set<string>();
    for (const step of steps) {
      const before = account.listClosedPeriods().map(formatPeriod);
      if (step.action === 'restore') account = restore(account);
      else if (step.action === 'close') account.close(periodName(step.atMs, step.length));
      else if (step.action === 'add') {
        expect(account.add(step.entry, step.atMs, step.length).isOk).toEqual(true);
        added += step.entry.millicoreMs;
      } else {
        const isClosed = account
          .listClosedPeriods()
          .some(({ period }) => period === step.correction.corrects);
        const result = account.correct(step.correction, step.atMs, step.length);
        expect(result.isOk).toEqual(isClosed);
        if (isClosed) ids.add(step.correction.id);
      }
      expect(account.listClosedPeriods().slice(0, before.length).map(formatPeriod)).toEqual(before);
    }
    const open = account.listOpenPeriods().flatMap((name) => account.listOpenRows(name));
    const rows = [...account.listClosedPeriods().flatMap((period) => period.rows), ...open];
    expect(rows.reduce((sum, row) => sum + row.millicoreMs, 0n)).toEqual(added);
    const state = account.state();
    const storedCorrections = [...state.closed, ...state.open].flatMap(
      ({ corrections }) => corrections,
    );
    expect(storedCorrections.map(({ id }) => id).sort()).toEqual([...ids].sort());
    const endTimes = account
      .listClosedPeriods()
      .map(({ period }) => periodBounds(period)?.endMs ?? 0);
    // Two periods may have the same end: a month and its last day.
    expect(endTimes).toEqual([...endTimes].sort((left, right) => left - right));
    const lastEnd = endTimes.at(-1) ?? -Infinity;
    // An open period that ends no later than the last closed one could never be closed.
    for (const name of account.listOpenPeriods())
      expect((periodBounds(name)?.endMs ?? -Infinity) > lastEnd).toEqual(true);
    expect(verifyChain(account.listClosedPeriods()).isOk).toEqual(true);
  });
  fc.assert(property, { seed, numRuns: 300 });
});

test('verifyChain fails when closed periods are removed, reordered or changed', (t) => {
  // Guards against a stored account that was altered and is accepted when it is restored.
  t.diagnostic(`seed ${seed}`);
  const property = fc.property(
    fc.array(arbitraryEntry, { minLength: 3, maxLength: 9 }),
    (entries) => {
      const account = AccountBook.create('a.0');
      const start = periodBounds('2026-12-01')?.startMs ?? 0;
      entries.forEach((entry, day) => account.add(entry, start + day * DAY_MS, 'day'));
      entries.forEach((_, day) => account.close(periodName(start + day * DAY_MS, 'day')));
      const closed = [...account.listClosedPeriods()];
      expect(closed.length).toEqual(entries.length);
      const changeRow = (period: ClosedPeriod): ClosedPeriod => ({
        ...period,
        rows: period.rows.map((row) => ({ ...row, waitMs: row.waitMs + 1 })),
      });
      for (const index of closed.keys()) {
        const isLast = index === closed.length - 1;
        if (!isLast) expect(verifyChain(closed.toSpliced(index, 1)).isErr).toEqual(true);
        const changed = closed.map((period, periodIndex) =>
          periodIndex === index ? changeRow(period) : period,
        );
        expect(verifyChain(changed).isErr).toEqual(true);
        const reordered = [...closed.slice(0, index), ...closed.slice(index).reverse()];
        if (!isLast) expect(verifyChain(reordered).isErr).toEqual(true);
      }
    },
  );
  fc.assert(property, { seed, numRuns: 50 });
});

test('period names and bounds match the calendar of the runtime at any time in UTC', (t) => {
  // Guards against a request or job that is counted in a wrong day or month because of an error in the
  // calendar arithmetic, such as at a leap day.
  t.diagnostic(`seed ${seed}`);
  // The calendar of the runtime is the independent reference.
  const calendar = new Intl.DateTimeFormat('en-CA', { timeZone: 'UTC', dateStyle: 'short' });
  const property = fc.property(fc.integer({ min: -2e12, max: 32_503_679_999_999 }), (ms) => {
    const day = periodName(ms, 'day');
    expect(day).toEqual(calendar.format(ms));
    const month = periodName(ms, 'month');
    expect(month).toEqual(day.slice(0, 7));
    for (const name of [day, month]) {
      const bounds = periodBounds(name) ?? { startMs: Infinity, endMs: -Infinity };
      expect(bounds.startMs <= ms && ms < bounds.endMs).toEqual(true);
      const kind = name === day ? 'day' : 'month';
      expect(periodName(bounds.endMs - 1, kind)).toEqual(name);
      expect(periodName(bounds.endMs, kind) > name).toEqual(true);
    }
  });
  fc.assert(property, { seed, numRuns: 2000 });
  for (const name of ['2026-13', '2026-00', '2026-02-29', '2026-1', '', '2026-12-04T00'])
    expect(periodBounds(name)).toEqual(undefined);
});

test('a restored account does not record a repeated correction a second time', () => {
  // Guards against a correction that counts twice because its sender repeats it after a restart.
  let account = AccountBook.create('a.0');
  const repeated = {
    id: 'c',
    corrects: '1970-01',
    operator: 'o',
    reason: 'r',
    change: emptyRow('u', 't'),
  };
  account.close('1970-01');
  account.correct(repeated, 0, 'month');
  expect(account.listOpenPeriods()).toEqual(['1970-02']);
  account.close('1970-02');
  account = restore(account);
  expect(account.correct(repeated, 0, 'month').isOk).toEqual(true);
  expect(account.listOpenPeriods()).toEqual([]);
});

test('the account closes a month when its last day is closed', () => {
  // Guards against a month that stays open because it has the same end as its last day.
  const account = AccountBook.create('a.0');
  account.add({ ...emptyRow('u', 't'), outcome: null, count: 0 }, 0, 'month');
  expect(account.close('1970-01-31').map(({ period }) => period)).toEqual([
    '1970-01',
    '1970-01-31',
  ]);
  expect(account.listOpenPeriods()).toEqual([]);
});

test('the account lists ended periods without entries as due', () => {
  // Guards against a period that is never closed because it has no entries.
  const account = AccountBook.create('a.0');
  expect(account.listDuePeriods(400 * DAY_MS, 'month')).toEqual([]);
  account.add({ ...emptyRow('u', 't'), outcome: null, count: 0 }, 40 * DAY_MS, 'month');
  expect(account.listDuePeriods(120 * DAY_MS, 'month')).toEqual(['1970-02', '1970-03', '1970-04']);
  expect(account.listDuePeriods(120 * DAY_MS - 1, 'month')).toEqual(['1970-02', '1970-03']);
  for (const name of account.listDuePeriods(120 * DAY_MS, 'month')) account.close(name);
  expect(account.listDuePeriods(120 * DAY_MS, 'month')).toEqual([]);
  expect(account.listDuePeriods(122 * DAY_MS, 'day')).toEqual(['1970-05-01', '1970-05-02']);
  expect(account.listDuePeriods(1e13, 'day').length).toEqual(400);
});

test('the account keeps totals exact above 2^53 and rejects invalid amounts', () => {
  // Guards against totals that lose units because numbers above 2^53 are rounded.
  const account = AccountBook.create('a.0');
  const base = { user: 'u', team: 't', outcome: Outcome.completed };
  const large = { ...base, count: 1, waitMs: 2 ** 52, millicoreMs: 2n ** 53n, memoryMibMs: 1n };
  expect(account.add(large, 0, 'month').isOk).toEqual(true);
  expect(account.add({ ...large, waitMs: 0, millicoreMs: 1n }, 0, 'month').isOk).toEqual(true);
  expect(account.add(large, 0, 'month').isErr).toEqual(true);
  for (const wrong of [{ count: -1 }, { count: 0.5 }, { waitMs: NaN }, { millicoreMs: -1n }])
    expect(account.add({ ...large, ...wrong }, 0, 'month').isErr).toEqual(true);
  const [row] = account.listOpenRows('1970-01');
  expect(row?.millicoreMs).toEqual(2n ** 53n + 1n);
  expect(row?.waitMs).toEqual(2 ** 52);
  expect(row?.counts.completed).toEqual(2);
});
