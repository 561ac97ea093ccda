/** Description of a valid message body, which `findShapeError` checks. `max` limits a length. */
export type Shape =
  | { type: 'string'; max?: number }
  | { type: 'number' }
  | { type: 'boolean' }
  | { type: 'bytes' }
  | { type: 'any' }
  | { type: 'optional'; of: Shape }
  | { type: 'nullable'; of: Shape }
  | { type: 'list'; of: Shape; max: number }
  | { type: 'oneOf'; values: readonly string[] }
  | { type: 'object'; fields: Readonly<Record<string, Shape>> };
