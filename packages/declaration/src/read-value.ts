import type { FaultList } from './fault-list.js';
import type { TextLimit } from './text-limit.js';
import type { Tree } from './tree.js';

/** Counted for every value in addition to its text, so that the number of empty values is limited too. */
const CHARACTERS_PER_VALUE = 8;

/**
 * Makes a tree from a decoded value, such as a request body. Returns undefined, and reports a fault,
 * if its texts and values exceed the limit of characters. Parts nested too deeply become foreign
 * trees, which no schema accepts; this also ends the conversion of a cyclic value.
 */
export function readValue(value: unknown, limit: TextLimit, faults: FaultList): Tree | undefined {
  let remaining = limit.characters;

  const convert = (
    part: unknown,
    parent: Tree | undefined,
    step: string | number | undefined,
    level: number,
  ): Tree => {
    remaining -= CHARACTERS_PER_VALUE + (typeof part === 'string' ? part.length : 0);
    const location = { offset: 0, parent, step };
    if (part === null || ['string', 'number', 'boolean'].includes(typeof part)) {
      return { ...location, type: 'literal', value: part as string | number | boolean | null };
    }
    if (typeof part !== 'object') return { ...location, type: 'foreign', description: typeof part };
    if (level >= limit.nesting)
      return { ...location, type: 'foreign', description: 'deeper nesting' };
    if (Array.isArray(part)) {
      const list: Tree = { ...location, type: 'list', items: [] };
      for (let index = 0; index < part.length && remaining > 0; index += 1)
        list.items.push(convert(part[index], list, index, level + 1));
      return list;
    }
    const record: Tree = { ...location, type: 'record', entries: [] };
    for (const name of Object.keys(part)) {
      if (remaining <= 0) break;
      const field = (part as Record<string, unknown>)[name];
      if (field === undefined) continue;
      remaining -= name.length;
      record.entries.push({ name, offset: 0, value: convert(field, record, name, level + 1) });
    }
    return record;
  };

  const tree = convert(value, undefined, undefined, 0);
  if (remaining > 0) return tree;
  faults.add(0, '', 'the value is too large', `use at most ${limit.characters} characters in all`);
  return undefined;
}
