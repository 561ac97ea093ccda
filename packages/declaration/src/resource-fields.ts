import type { Resources } from '@acaciahoist/types/resources';
import type { Schema } from './schema.js';
import { textFormats } from './text-formats.js';

/** The two limits are larger than any worker, so that a value above them is most likely in another unit. */
const MAX_MILLICORES = 1_024_000;
const MAX_MEMORY_MIB = 16_777_216;

/** Schemas of the fields of a capacity or demand. */
export const resourceFields = {
  millicores: {
    type: 'integer',
    min: 0,
    max: MAX_MILLICORES,
    about: 'Processor time in thousandths of a core.',
  },
  memoryMib: { type: 'integer', min: 0, max: MAX_MEMORY_MIB, about: 'Memory in MiB.' },
  accelerators: {
    type: 'map',
    keys: textFormats.name,
    values: { type: 'integer', min: 1, max: 64, about: 'Number of accelerators of the kind.' },
    max: 16,
    default: {},
    about: 'Number of accelerators by kind.',
  },
} as const satisfies Record<keyof Resources, Schema>;
