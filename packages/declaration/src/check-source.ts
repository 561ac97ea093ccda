import { Result } from 'true-myth/result';
import { checkValue } from './check-value.js';
import type { Fault } from './fault.js';
import { FaultList } from './fault-list.js';
import { LineIndex } from './line-index.js';
import { readText } from './read-text.js';
import { readValue } from './read-value.js';
import type { Schema } from './schema.js';
import type { TextLimit } from './text-limit.js';
import type { Tree } from './tree.js';

/**
 * Checks a text, or an already decoded value, against a schema and then against the rules that relate
 * several fields. Returns the value with all defaults, in the shape of the schema, or all faults.
 */
export function checkSource(
  source: { text: string } | { value: unknown },
  fileName: string,
  limit: TextLimit,
  chooseSchema: (root: Tree) => Schema,
  checkRelations: (root: Tree, faults: FaultList) => void,
): Result<unknown, readonly Fault[]> {
  const lines =
    'text' in source && source.text.length <= limit.characters
      ? LineIndex.create(source.text)
      : undefined;
  const faults = FaultList.create(fileName, lines);
  const root =
    'text' in source
      ? readText(source.text, limit, faults)
      : readValue(source.value, limit, faults);
  if (root === undefined) {
    if (faults.isEmpty()) faults.add(0, '', 'the text is empty', 'write a record: { … }');
    return Result.err(faults.list());
  }
  const value = checkValue(root, chooseSchema(root), faults);
  checkRelations(root, faults);
  return faults.isEmpty() ? Result.ok(value) : Result.err(faults.list());
}
