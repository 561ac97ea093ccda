import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { ConfigurationRecord } from '@acaciahoist/types/configuration-record';
import type { LogRecord } from '@acaciahoist/types/log-record';
import { decodeConfigurationRecord } from './decode-configuration-record.js';
import { encodeConfigurationRecord } from './encode-configuration-record.js';
import { Configuration } from './configuration.js';

const seed = Number(process.env.TEST_SEED ?? 20_261_204);
console.log(`seed ${seed}: configuration`);

function encode(record: ConfigurationRecord): Uint8Array {
  return encodeConfigurationRecord(record).unwrapOr(new Uint8Array());
}

function createPublication(baseRevision: number, text: string): ConfigurationRecord {
  return { type: 'publication', baseRevision, text, operator: 'op', atMs: 1 };
}

const accepts = (text: string) => !text.startsWith('bad');

test('the configuration accepts only the first publication of a base revision', () => {
  // Guards against an operator who overwrites a revision without having read it, because two operators
  // published at the same time.
  const verdicts: unknown[] = [];
  const configuration = Configuration.create({
    accepts,
    onPublication: ({ result, revision, text }) => verdicts.push([result, revision, text]),
  });
  const records = [
    createPublication(0, 'one'),
    createPublication(0, 'other'),
    createPublication(1, 'bad'),
    createPublication(1, 'two'),
    createPublication(7, 'far'),
  ];
  records.forEach((record, offset) => {
    configuration.apply({ offset, data: encode(record) });
  });
  expect(verdicts).toEqual([
    ['accepted', 1, 'one'],
    ['conflict', 1, 'one'],
    ['unacceptable', 1, 'one'],
    ['accepted', 2, 'two'],
    ['conflict', 2, 'two'],
  ]);
  const { revision, conflicts } = configuration.current();
  expect([revision, conflicts.map(({ baseRevision }) => baseRevision)]).toEqual([2, [0, 7]]);
});

test('the configuration restored from a checkpoint has the revision of a full replay', () => {
  // Guards against restoring an older revision and against skipping records when a checkpoint is stale,
  // because other records were appended after it was built and before it was appended.
  const step = fc.record({
    kind: fc.constantFrom(
      'next',
      'next',
      'stale',
      'bad',
      'build-checkpoint',
      'append-checkpoint',
      'append-checkpoint',
      'malformed',
    ),
    staleBy: fc.nat(3),
  });
  let resumedCount = 0;
  const property = fc.property(fc.array(step, { minLength: 5, maxLength: 40 }), (steps) => {
    const fullReplay = Configuration.create({ accepts });
    const log: LogRecord[] = [];
    let checkpoint: { data: Uint8Array; asOf: number } | undefined;
    const appendedAsOfs: number[] = [];
    const revisions: number[] = [];
    const append = (data: Uint8Array) => {
      log.push({ offset: log.length, data });
      fullReplay.apply({ offset: log.length - 1, data });
      revisions.push(fullReplay.current().revision);
    };
    steps.forEach(({ kind, staleBy }, index) => {
      const { revision } = fullReplay.current();
      if (kind === 'next') append(encode(createPublication(revision, `text ${index}`)));
      if (kind === 'stale')
        append(encode(createPublication(revision - 1 - staleBy, `stale ${index}`)));
      if (kind === 'bad') append(encode(createPublication(revision, 'bad')));
      if (kind === 'malformed') append(Uint8Array.of(0xc1, staleBy));
      if (kind === 'build-checkpoint')
        checkpoint = { data: encode(fullReplay.checkpoint()), asOf: log.length - 1 };
      if (kind !== 'append-checkpoint' || checkpoint === undefined) return;
      append(checkpoint.data);
      appendedAsOfs.push(checkpoint.asOf);
    });
    expect(revisions).toEqual([...revisions].sort((left, right) => left - right));
    for (let firstRetained = 1; firstRetained <= log.length; firstRetained += 1) {
      const reader = Configuration.create({ accepts });
      for (let reads = 0; reads < 3; reads += 1) {
        const from = Math.max(firstRetained, reader.nextOffset());
        reader.applyPage({ firstRetained, end: log.length, records: log.slice(from) });
      }
      // A checkpoint is appended after its `asOf`, so it is retained when the offset `asOf + 1` is.
      expect(reader.hasState()).toEqual(appendedAsOfs.some((asOf) => asOf + 1 >= firstRetained));
      if (!reader.hasState()) continue;
      resumedCount += 1;
      const { revision, text } = fullReplay.current();
      expect([reader.current().revision, reader.current().text]).toEqual([revision, text]);
    }
  });
  fc.assert(property, { seed, numRuns: 300 });
  expect(resumedCount).toBeGreaterThan(500);
});

test('the configuration decoder returns an error for malformed bytes and never throws', () => {
  // Guards against an exception for one malformed record, which would stop every process of the cell.
  const valid = encode(createPublication(3, 'text'));
  const edits = fc.array(fc.tuple(fc.nat(valid.length - 1), fc.nat(255)), { maxLength: 6 });
  const property = fc.property(fc.uint8Array({ maxLength: 60 }), edits, (bytes, byteEdits) => {
    const copy = Uint8Array.from(valid);
    for (const [index, value] of byteEdits) copy[index] = value;
    for (const data of [bytes, copy]) {
      const record = decodeConfigurationRecord(data).unwrapOr(undefined);
      if (record !== undefined) expect(typeof record.text).toEqual('string');
    }
  });
  fc.assert(property, { seed, numRuns: 2_000 });
});
