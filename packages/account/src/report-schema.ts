import type { Schema } from '@acaciahoist/declaration/schema';
import type { CellReport } from './cell-report.js';
import { outcomes } from './outcomes.js';

type SchemaOf<T extends Schema['type']> = Extract<Schema, { type: T }>;

function createText(
  name: string,
  pattern: RegExp,
  maxLength: number,
  example: string,
): SchemaOf<'text'> {
  const format = { name, pattern, maxLength, example, rule: `the form ${pattern.source}` };
  return { type: 'text', format, about: name };
}

/**
 * Any text is a valid name: old accounts stay valid when the format of names in the declaration
 * changes.
 */
const nameSchema = createText('name', /^[^]*$/, 4096, 'luz-norte');
const amountSchema = createText('whole number', /^-?(?:0|[1-9][0-9]{0,39})$/, 41, '0');
/** Digests are absent while the period is open. */
const digestSchema: Schema = {
  ...createText('digest', /^[0-9a-f]{64}$/, 64, '0'.repeat(64)),
  optional: true,
};
const countSchema: Schema = {
  type: 'integer',
  min: Number.MIN_SAFE_INTEGER,
  max: Number.MAX_SAFE_INTEGER,
  about: 'count',
};

function createList(items: Schema): SchemaOf<'list'> {
  return { type: 'list', items, min: 0, max: 100_000, about: 'list' };
}

function createRecord(fields: Readonly<Record<string, Schema>>): SchemaOf<'record'> {
  return { type: 'record', fields, about: 'record' };
}

const rowSchema = createRecord({
  user: nameSchema,
  team: nameSchema,
  counts: createRecord(Object.fromEntries(outcomes.map((outcome) => [outcome, countSchema]))),
  waitMs: countSchema,
  millicoreMs: amountSchema,
  memoryMibMs: amountSchema,
});

const fields = {
  version: { type: 'integer', min: 1, max: 1, about: 'version' },
  period: nameSchema,
  users: { ...createList(nameSchema), optional: true },
  partitions: createList(
    createRecord({ partition: nameSchema, previousDigest: digestSchema, digest: digestSchema }),
  ),
  rows: createList(rowSchema),
  corrections: createList(
    createRecord({
      id: nameSchema,
      corrects: nameSchema,
      operator: nameSchema,
      reason: nameSchema,
      change: rowSchema,
    }),
  ),
} satisfies Record<keyof CellReport, Schema>;

/** Schema of the JSON form of a report. */
export const reportSchema: SchemaOf<'record'> = createRecord(fields);
