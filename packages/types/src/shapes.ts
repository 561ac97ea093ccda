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
  numberFrom: (min: number): Shape => ({ type: 'number', min }),
  numberBetween: (min: number, max: number): Shape => ({ type: 'number', min, max }),
  integerFrom: (min: number): Shape => ({ type: 'integer', min }),
  optional: (of: Shape): Shape => ({ type: 'optional', of }),
  nullable: (of: Shape): Shape => ({ type: 'nullable', of }),
  list: (of: Shape, max: number): Shape => ({ type: 'list', of, max }),
  tuple: (...items: Shape[]): Shape => ({ type: 'tuple', items }),
  oneOf: (...values: string[]): Shape => ({ type: 'oneOf', values }),
  object: (fields: Readonly<Record<string, Shape>>): Shape => ({ type: 'object', fields }),
};
