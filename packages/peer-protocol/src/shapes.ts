import type { Shape } from './shape.js';

const string: Shape = { type: 'string' };
const number: Shape = { type: 'number' };
const boolean: Shape = { type: 'boolean' };
const bytes: Shape = { type: 'bytes' };
const any: Shape = { type: 'any' };

/** Constants and functions from which shapes are composed. */
export const shapes = {
  string,
  number,
  boolean,
  bytes,
  any,
  text: (max: number): Shape => ({ type: 'string', max }),
  optional: (of: Shape): Shape => ({ type: 'optional', of }),
  nullable: (of: Shape): Shape => ({ type: 'nullable', of }),
  list: (of: Shape, max: number): Shape => ({ type: 'list', of, max }),
  oneOf: (...values: string[]): Shape => ({ type: 'oneOf', values }),
  object: (fields: Readonly<Record<string, Shape>>): Shape => ({ type: 'object', fields }),
};
