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
import { AccountBook } from './index.js';
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
      do: fc.constant('add' as const),
      entry: arbitraryEntry,
      atMs: arbitraryAtMs,
      length: arbitraryLength,
    }),
  },
  fc.record({
    do: fc.constant('correct' as const),
    correction: arbitraryCorrection,
    atMs: arbitraryAtMs,
    length: arbitraryLength,
  }),
  fc.record({ do: fc.constant('close' as const), atMs: arbitraryAtMs, length: arbitraryLength }),
  fc.record({ do: fc.constant('restore' as const) }),
);

function formatPeriod(period: ClosedPeriod): string {
  const rows = period.rows.map((row) => rowLines.formatRow(row));
  const lines = [...rows, ...period.corrections.map((each) => rowLines.formatCorrection(each))];
  return [period.period, period.previousDigest, period.digest, ...lines].join('\n');
}

function restore(account: AccountBook): AccountBook {
  const state = unpack(pack(account.state())) as AccountState;
  return AccountBook.restore(state).unwrapOrElse((failure) => {
    throw new Error(failure.message);
  });
}

test('the account never changes a closed period and counts each entry once', (t) => {
  // Guards against a closed period that changes and an entry that is lost or counted twice.
  t.diagnostic(`seed ${seed}`);
  const property = fc.property(fc.array(arbitraryStep, { maxLength: 40 }), (steps) => {
    let account = AccountBook.create('a.0');
    let added = 0n;
    const ids = new Set<string>();
    for (const current of steps) {
      const before = account.listClosedPeriods().map(formatPeriod);
      if (current.do === 'restore') account = restore(account);
      else if (current.do === 'close') account.close(periodName(current.atMs, current.length));
      else if (current.do === 'add') {
        expect(account.add(current.entry, current.atMs, current.length).isOk).toEqual(true);
        added += current.entry.millicoreMs;
      } else {
        const isClosed = account
          .listClosedPeriods()
          .some(({ period }) => period === current.correction.corrects);
        const result = account.correct(current.correction, current.atMs, current.length);
        expect(result.isOk).toEqual(isClosed);
        if (isClosed) ids.add(current.correction.id);
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

test('verifyChain fails when a closed period is removed, exchanged or changed', (t) => {
  t.diagnostic(`seed ${seed}`);
  const property = fc.property(
    fc.array(arbitraryEntry, { minLength: 3, maxLength: 9 }),
    (entries) => {
      const account = AccountBook.create('a.0');
      const start = periodBounds('2026-12-01')?.startMs ?? 0;
      entries.forEach((each, day) => account.add(each, start + day * DAY_MS, 'day'));
      entries.forEach((_, day) => account.close(periodName(start + day * DAY_MS, 'day')));
      const closed = [...account.listClosedPeriods()];
      expect(closed.length).toEqual(entries.length);
      const changeRow = (period: ClosedPeriod): ClosedPeriod => ({
        ...period,
        rows: period.rows.map((row) => ({ ...row, waitMs: row.waitMs + 1 })),
      });
      for (const at of closed.keys()) {
        const isLast = at === closed.length - 1;
        if (!isLast) expect(verifyChain(closed.toSpliced(at, 1)).isErr).toEqual(true);
        expect(verifyChain(closed.map((p, i) => (i === at ? changeRow(p) : p))).isErr).toEqual(
          true,
        );
        const exchanged = [...closed.slice(0, at), ...closed.slice(at).reverse()];
        if (!isLast) expect(verifyChain(exchanged).isErr).toEqual(true);
      }
    },
  );
  fc.assert(property, { seed, numRuns: 50 });
});

test('period names and bounds match the calendar in UTC', (t) => {
  // Guards against a wrong day, month or leap year.
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

test('the due periods include ended periods without entries', () => {
  // Guards against a period without entries that is never closed.
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
  // Guards against totals that lose units above 2^53.
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
