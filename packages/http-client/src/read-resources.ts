import type { Resources } from '@acaciahoist/types/resources';
import type { JsonFields } from './json-fields.js';

/** Reads amounts of processor capacity, memory and accelerators. */
export function readResources(fields: JsonFields): Resources {
  const acceleratorCounts = fields.object('accelerators');
  return {
    millicores: fields.integer('millicores'),
    memoryMib: fields.integer('memoryMib'),
    accelerators: Object.fromEntries(
      acceleratorCounts.names().map((kind) => [kind, acceleratorCounts.integer(kind)]),
    ),
  };
}
