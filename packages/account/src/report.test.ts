import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { Outcome } from '@acaciahoist/types/outcome';
import type { CellReport } from './cell-report.js';
import { emptyRow } from './empty-row.js';
import { AccountBook } from './account-book.js';
import { mergePeriods } from './merge-periods.js';
import { parseReport } from './parse-report.js';
import type { PartitionPeriod } from './partition-period.js';
import { reportJson } from './report-json.js';
import { reportText } from './report-text.js';
import { scopeReport } from './scope-report.js';
import { verifyReport } from './verify-report.js';

const seed = Number(process.env.SEED ?? 20_261_204);
const partitions = ['a.0', 'a.1', 'b.0'];

interface TestEntry {
  partition: string;
  user: string;
  team: string;
  amount: number;
  correction: string | null;
}

const arbitraryEntry: fc.Arbitrary<TestEntry> = fc.record({
  partition: fc.constantFrom(...partitions),
  user: fc.constantFrom('capsula', 'luz-norte', 'é b\n'),
  team: fc.constantFrom('x', 'y', 'z'),
  amount: fc.nat(),
  correction: fc.option(fc.string({ unit: 'grapheme', maxLength: 5 }), { freq: 4 }),
});

function createReport(entries: readonly TestEntry[], order: readonly string[]): CellReport {
  const partitionPeriods = order.map((partition): PartitionPeriod => {
    const account = AccountBook.create(partition);
    account.close('1969-12');
    for (const [index, item] of entries.entries()) {
      if (item.partition !== partition) continue;
      const { user, team, amount, correction } = item;
      const amounts = { waitMs: amount, millicoreMs: BigInt(amount) ** 2n, memoryMibMs: 3n };
      account.add({ user, team, outcome: Outcome.late, count: 1, ...amounts }, index, 'month');
      if (correction === null) continue;
      const change = { ...emptyRow(user, team), waitMs: -amount };
      // The id depends on the entry and not on the order in which entries are added.
      const id = JSON.stringify(item);
      account.correct(
        { id, corrects: '1969-12', operator: 'o', reason: correction, change },
        0,
        'month',
      );
    }
    const [closed] = account.close('1970-01');
    if (closed === undefined) throw new Error('not closed');
    return closed;
  });
  return mergePeriods('1970-01', partitions, partitionPeriods).unwrapOrElse((failure) => {
    throw new Error(failure.message);
  });
}

const arbitraryEntries = fc.array(arbitraryEntry, { maxLength: 25 });

test('the report text has the same bytes in any order of entries and partitions', (t) => {
  // Guards against two processes that print different reports of the same account, because entries and
  // partitions reached them in different orders.
  t.diagnostic(`seed ${seed}`);
  const shuffled = arbitraryEntries.chain((list) =>
    fc.tuple(
      fc.constant(list),
      fc.shuffledSubarray(list, { minLength: list.length }),
      fc.shuffledSubarray(partitions, { minLength: partitions.length }),
    ),
  );
  const property = fc.property(shuffled, ([list, otherList, otherPartitions]) => {
    const report = createReport(list, partitions);
    const text = reportText(report);
    expect(reportText(createReport(otherList, otherPartitions))).toEqual(text);
    const total = list.reduce((sum, { amount }) => sum + BigInt(amount) ** 2n, 0n);
    expect(text).toInclude(`late=${list.length} `);
    expect(text).toInclude(`\ntotal completed=0 late=${list.length} `);
    expect(/\ntotal .* millicoreMs=([0-9]+) /.exec(text)?.[1]).toEqual(String(total));
    const decoded = parseReport(JSON.parse(JSON.stringify(reportJson(report)))).unwrapOr(null);
    expect(decoded === null ? '' : reportText(decoded)).toEqual(text);
  });
  fc.assert(property, { seed, numRuns: 200 });
});

test('verifyReport returns the line of any changed, missing or added byte', (t) => {
  // Guards against a report that was changed after printing and passes the verification.
  t.diagnostic(`seed ${seed}`);
  const arbitraryDamage = fc.record({
    position: fc.nat(),
    flippedBits: fc.integer({ min: 1, max: 255 }),
    isTruncated: fc.boolean(),
  });
  const property = fc.property(arbitraryEntries, arbitraryDamage, (list, damage) => {
    const { position, flippedBits, isTruncated } = damage;
    const report = createReport(list, partitions);
    const bytes = Buffer.from(reportText(report));
    const lines = bytes.toString().split('\n').length - 1;
    expect(verifyReport(bytes, report).unwrapOr(0)).toEqual(lines);
    const index = position % bytes.length;
    const line = bytes.subarray(0, index).toString('latin1').split('\n').length;
    const changed = Buffer.from(bytes);
    changed[index] = (changed[index] ?? 0) ^ flippedBits;
    const damaged = isTruncated ? bytes.subarray(0, index) : changed;
    expect(
      verifyReport(damaged, report).match({ Ok: () => 0, Err: (difference) => difference.line }),
    ).toEqual(line);
    const longer = verifyReport(Buffer.concat([bytes, Buffer.from('x')]), report);
    expect(longer.match({ Ok: () => 0, Err: (difference) => difference.line })).toEqual(lines + 1);
  });
  fc.assert(property, { seed, numRuns: 200 });
});

test('the report text of version 1 keeps its format', () => {
  // Guards against a change of the format, after which reports printed before could not be verified.
  const list = [
    { partition: 'b.0', user: 'capsula', team: 'x', amount: 2, correction: null },
    { partition: 'a.0', user: 'capsula', team: 'x', amount: 3, correction: 'typo "3"' },
    { partition: 'a.0', user: 'luz-norte', team: 'y', amount: 0, correction: null },
  ];
  const text = reportText(scopeReport(createReport(list, partitions), ['capsula']));
  expect(text.split('\n').filter((line) => !/^(partition|end) /.test(line))).toEqual([
    'acaciahoist account report 1',
    'period 1970-01 UTC',
    'state closed',
    'users capsula',
    'row capsula x completed=0 late=2 refused=0 cancelled=0 failed=0 unknown=0 waitMs=5 millicoreMs=13 memoryMibMs=6',
    'total completed=0 late=2 refused=0 cancelled=0 failed=0 unknown=0 waitMs=5 millicoreMs=13 memoryMibMs=6',
    `correction ${JSON.stringify(JSON.stringify(list[1]))} of 1969-12 capsula x completed=0 late=0 refused=0 cancelled=0 failed=0 unknown=0 waitMs=-3 millicoreMs=0 memoryMibMs=0 by o for "typo \\"3\\""`,
    '',
  ]);
  // Computed by a separate program that implements the format; it covers the partition lines too.
  expect(/end ([0-9a-f]{64})\n$/.exec(text)?.[1]).toEqual(
    '93049c66a074cb1b222c332c3a99d1bf5f7d245e75aefe2d823c674a2cc4f3b1',
  );
});

test('mergePeriods rejects a missing or changed partition and counts a partition given twice only once', () => {
  // Guards against a report that lacks a partition whose owner did not respond, or that contains rows
  // that do not match their digest.
  const account = AccountBook.create('a.0');
  account.add({ ...emptyRow('u', 't'), outcome: null, count: 0 }, 0, 'month');
  const [closed] = account.close('1970-01');
  if (closed === undefined) throw new Error('not closed');
  const kindOf = (parts: readonly PartitionPeriod[], names = ['a.0'], period = '1970-01') =>
    mergePeriods(period, names, parts).match({ Ok: () => 'ok', Err: ({ kind }) => kind });
  expect(kindOf([closed, closed])).toEqual('ok');
  expect(kindOf([closed], ['a.0', 'a.1'])).toEqual('owner-unreachable');
  expect(kindOf([{ ...closed, rows: [] }])).toEqual('internal');
  expect(kindOf([closed, { ...closed, digest: null, previousDigest: null }])).toEqual('internal');
  expect(kindOf([closed], ['a.0'], '1970-02')).toEqual('internal');
  const doubled = mergePeriods('1970-01', ['a.0'], [closed, closed]);
  expect(doubled.map(({ rows }) => rows.length).unwrapOr(0)).toEqual(1);
});
