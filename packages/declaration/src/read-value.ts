import type { FaultList } from './fault-list.js';
import type { TextLimit } from './text-limit.js';
import type { Tree } from './tree.js';

/**
 * Makes a tree from a decoded value, such as a request body. Returns undefined, and reports a fault,
 * if the value is too large. Parts nested too deeply become foreign trees, which no schema accepts;
 * this also ends the conversion of a cyclic value.
 */
export function readValue(value: unknown, limit: TextLimit, faults: FaultList): Tree | undefined {
  // Every value counts as 8 characters on top of its text, which bounds the number of empty values too.
  let remaining = limit.characters;

  const convert = (
    part: unknown,
    parent: Tree | undefined,
    step: string | number | undefined,
    level: number,
  ): Tree => {
    remaining -= typeof part === 'string' ? part.length + 8 : 8;
    const place = { offset: 0, parent, step };
    if (part === null || ['string', 'number', 'boolean'].includes(typeof part)) {
      return { ...place, type: 'literal', value: part as string | number | boolean | null };
    }
    if (typeof part !== 'object') return { ...place, type: 'foreign', description: typeof part };
    if (level >= limit.nesting) return { ...place, type: 'foreign', description: 'deeper nesting' };
    if (Array.isArray(part)) {
      const list: Tree = { ...place, type: 'list', items: [] };
      for (let index = 0; index < part.length && remaining > 0; index += 1)
        list.items.push(convert(part[index], list, index, level + 1));
      return list;
    }
    const record: Tree = { ...place, type: 'record', entries: [] };
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
