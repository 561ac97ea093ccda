import type { Shape } from './shape.js';

const DEFAULT_MAX_CHARACTERS = 4_096;

/**
 * Returns the first deviation of `value` from `shape`, or undefined if there is none. Unknown fields are
 * ignored, so that processes of different versions can exchange messages.
 */
export function findShapeError(shape: Shape, value: unknown, path: string): string | undefined {
  switch (shape.type) {
    case 'any':
      return undefined;
    case 'optional':
      return value === undefined ? undefined : findShapeError(shape.of, value, path);
    case 'nullable':
      return value === null ? undefined : findShapeError(shape.of, value, path);
    case 'string':
      return findStringError(shape.max ?? DEFAULT_MAX_CHARACTERS, value, path);
    case 'number':
      return typeof value === 'number' && Number.isFinite(value)
        ? undefined
        : `${path} must be a finite number`;
    case 'boolean':
      return typeof value === 'boolean' ? undefined : `${path} must be true or false`;
    case 'bytes':
      return value instanceof Uint8Array ? undefined : `${path} must be bytes`;
    case 'oneOf':
      return typeof value === 'string' && shape.values.includes(value)
        ? undefined
        : `${path} must be one of ${shape.values.join(', ')}`;
    case 'list':
      return findListError(shape.of, shape.max, value, path);
    case 'object':
      return findObjectError(shape.fields, value, path);
  }
}

function findStringError(max: number, value: unknown, path: string): string | undefined {
  if (typeof value !== 'string') return `${path} must be a string`;
  return value.length > max
    ? `${path} has ${value.length} characters, more than ${max}`
    : undefined;
}

function findListError(
  itemShape: Shape,
  max: number,
  value: unknown,
  path: string,
): string | undefined {
  if (!Array.isArray(value)) return `${path} must be a list`;
  if (value.length > max) return `${path} has ${value.length} items, more than ${max}`;
  for (const [index, item] of value.entries()) {
    const error = findShapeError(itemShape, item, `${path}[${index}]`);
    if (error !== undefined) return error;
  }
  return undefined;
}

function findObjectError(
  fields: Readonly<Record<string, Shape>>,
  value: unknown,
  path: string,
): string | undefined {
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    return `${path} must be an object`;
  for (const [name, shape] of Object.entries(fields)) {
    const error = findShapeError(
      shape,
      (value as Record<string, unknown>)[name],
      `${path}.${name}`,
    );
    if (error !== undefined) return error;
  }
  return undefined;
}
