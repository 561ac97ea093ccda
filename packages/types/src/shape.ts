/** Description of a valid value, which `findShapeError` checks. `max` of a string or a list limits its length. */
export type Shape =
  | { type: 'string'; max?: number }
  /** A finite number from `min` to `max`. */
  | { type: 'number'; min?: number; max?: number }
  /** A whole number that is represented exactly. */
  | { type: 'integer'; min: number }
  | { type: 'boolean' }
  | { type: 'bytes' }
  | { type: 'any' }
  | { type: 'optional'; of: Shape }
  | { type: 'nullable'; of: Shape }
  | { type: 'list'; of: Shape; max: number }
  | { type: 'tuple'; items: readonly Shape[] }
  | { type: 'oneOf'; values: readonly string[] }
  | { type: 'object'; fields: Readonly<Record<string, Shape>> };
