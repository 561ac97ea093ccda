import { describeSchemaType } from './describe-schema-type.js';
import type { FaultList } from './fault-list.js';
import { findNearestName } from './find-nearest-name.js';
import { formatPath } from './format-path.js';
import { quote } from './quote.js';
import type { Schema } from './schema.js';
import type { Tree } from './tree.js';
import { treeField } from './tree-field.js';
import { suggestConversion } from './suggest-conversion.js';

type SchemaOf<T extends Schema['type']> = Extract<Schema, { type: T }>;

/**
 * Checks a value against its schema and fills in defaults. Reports all faults. The result has
 * undefined in place of a faulty value, so it is only usable when no fault was reported.
 */
export function checkValue(tree: Tree, schema: Schema, faults: FaultList): unknown {
  switch (schema.type) {
    case 'text':
      return checkTextField(tree, schema, faults);
    case 'integer':
      return checkInteger(tree, schema, faults);
    case 'flag':
      if (tree.type === 'literal' && typeof tree.value === 'boolean') return tree.value;
      return reportWrongType(tree, schema, faults);
    case 'choice':
      if (tree.type === 'literal' && schema.values.some((value) => value === tree.value))
        return tree.value;
      return reportWrongType(tree, schema, faults);
    case 'list':
      return checkList(tree, schema, faults);
    case 'record':
      return checkRecord(tree, schema, faults);
    case 'map':
      return checkMap(tree, schema, faults);
  }
}

/** Describes a value for the problem of a fault. */
function describeActual(tree: Tree): string {
  if (tree.type === 'literal') return quote(tree.value);
  if (tree.type === 'foreign') return tree.description;
  return `a ${tree.type}`;
}

/** Describes the allowed values for the correction of a fault. */
function describeExpected(schema: Schema): string {
  if (schema.type === 'record' || schema.type === 'map') return '{ … }, a record';
  if (schema.type === 'list') return '[ … ], a list';
  if (schema.type !== 'text') return describeSchemaType(schema);
  return `"${schema.format.example}" or another ${schema.format.name}`;
}

function reportWrongType(tree: Tree, schema: Schema, faults: FaultList): unknown {
  const step = typeof tree.step === 'string' ? tree.step : '';
  const hint = tree.type === 'literal' ? suggestConversion(step, tree.value) : undefined;
  const correction = hint ?? `write ${describeExpected(schema)}`;
  faults.add(
    tree.offset,
    formatPath(tree),
    `${describeActual(tree)} is not allowed here`,
    correction,
  );
  return undefined;
}

function checkTextField(tree: Tree, schema: SchemaOf<'text'>, faults: FaultList): unknown {
  if (tree.type !== 'literal' || typeof tree.value !== 'string')
    return reportWrongType(tree, schema, faults);
  const { format } = schema;
  if (tree.value.length <= format.maxLength && format.pattern.test(tree.value)) return tree.value;
  const problem = `${quote(tree.value)} is not a valid ${format.name}`;
  faults.add(
    tree.offset,
    formatPath(tree),
    problem,
    `use ${format.rule}, such as "${format.example}"`,
  );
  return undefined;
}

function checkInteger(tree: Tree, schema: SchemaOf<'integer'>, faults: FaultList): unknown {
  if (tree.type !== 'literal' || !Number.isSafeInteger(tree.value))
    return reportWrongType(tree, schema, faults);
  // Adding 0 turns -0 into 0: the two have different encodings.
  const value = (tree.value as number) + 0;
  if (value >= schema.min && value <= schema.max) return value;
  const correction = `use a value from ${schema.min} to ${schema.max}`;
  faults.add(tree.offset, formatPath(tree), `${value} is out of range`, correction);
  return undefined;
}

function checkList(tree: Tree, schema: SchemaOf<'list'>, faults: FaultList): unknown {
  if (tree.type !== 'list') return reportWrongType(tree, schema, faults);
  const count = tree.items.length;
  if (count < schema.min || count > schema.max) {
    const problem = `the list has ${count} items`;
    faults.add(tree.offset, formatPath(tree), problem, `use ${schema.min} to ${schema.max}`);
  }
  const items = tree.items.slice(0, schema.max);
  if (schema.uniqueBy !== undefined) checkUnique(items, schema.uniqueBy, faults);
  return items.map((item) => checkValue(item, schema.items, faults));
}

/** Reports items whose field `uniqueBy` repeats that of an earlier item. */
function checkUnique(items: readonly Tree[], uniqueBy: string, faults: FaultList): void {
  const firstUses = new Map<string, Tree>();
  for (const item of items) {
    const key = uniqueBy === 'itself' ? item : treeField.tree(item, uniqueBy);
    if (key?.type !== 'literal' || typeof key.value !== 'string') continue;
    const earlier = firstUses.get(key.value);
    if (earlier === undefined) {
      firstUses.set(key.value, key);
      continue;
    }
    const problem = `${quote(key.value)} is already used at ${formatPath(earlier)}`;
    faults.add(key.offset, formatPath(key), problem, 'use each only once');
  }
}

function checkRecord(tree: Tree, schema: SchemaOf<'record'>, faults: FaultList): unknown {
  if (tree.type !== 'record') return reportWrongType(tree, schema, faults);
  const result: Record<string, unknown> = {};
  const present = new Set<string>();
  for (const { name, offset, value } of tree.entries) {
    const field = Object.hasOwn(schema.fields, name) ? schema.fields[name] : undefined;
    if (field === undefined) {
      reportUnknownField(tree, name, offset, schema, faults);
      continue;
    }
    present.add(name);
    result[name] = checkValue(value, field, faults);
  }
  for (const [name, field] of Object.entries(schema.fields)) {
    if (present.has(name) || field.optional === true) continue;
    if (field.default !== undefined) result[name] = structuredClone(field.default);
    else {
      const correction = `add ${quote(name)}: ${describeExpected(field)}`;
      faults.add(
        tree.offset,
        formatPath(tree, name),
        `the field ${quote(name)} is missing`,
        correction,
      );
    }
  }
  return result;
}

function reportUnknownField(
  tree: Tree,
  name: string,
  offset: number,
  schema: SchemaOf<'record'>,
  faults: FaultList,
): void {
  const names = Object.keys(schema.fields);
  const nearest = faults.isFull() ? undefined : findNearestName(name, names);
  const correction =
    nearest === undefined ? `use one of ${names.join(', ')}` : `did you mean ${quote(nearest)}?`;
  faults.add(offset, formatPath(tree, name), `the field ${quote(name)} is unknown`, correction);
}

function checkMap(tree: Tree, schema: SchemaOf<'map'>, faults: FaultList): unknown {
  if (tree.type !== 'record') return reportWrongType(tree, schema, faults);
  if (tree.entries.length > schema.max) {
    const problem = `the record has ${tree.entries.length} fields`;
    faults.add(tree.offset, formatPath(tree), problem, `use at most ${schema.max}`);
  }
  const result: Record<string, unknown> = {};
  for (const { name, offset, value } of tree.entries.slice(0, schema.max)) {
    const { keys } = schema;
    if (name.length > keys.maxLength || !keys.pattern.test(name)) {
      const correction = `use ${keys.rule}, such as "${keys.example}"`;
      faults.add(
        offset,
        formatPath(tree, name),
        `${quote(name)} is not a valid ${keys.name}`,
        correction,
      );
      continue;
    }
    result[name] = checkValue(value, schema.values, faults);
  }
  return result;
}
