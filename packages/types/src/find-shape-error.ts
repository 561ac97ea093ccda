import type { Shape } from './shape.js';

const DEFAULT_MAX_CHARACTERS = 4_096;

/** A deviation from a shape; `path` leads from the checked value to the deviating one. */
interface Deviation {
  path: string;
  problem: string;
}

/**
 * Returns the first deviation of `value` from `shape`, or undefined if there is none. Unknown fields are
 * ignored, so that processes of different versions can exchange messages.
 */
export function findShapeError(shape: Shape, value: unknown, path: string): string | undefined {
  const deviation = findDeviation(shape, value);
  return deviation && `${path}${deviation.path} ${deviation.problem}`;
}

function findDeviation(shape: Shape, value: unknown): Deviation | undefined {
  switch (shape.type) {
    case 'any':
      return undefined;
    case 'optional':
      return value === undefined ? undefined : findDeviation(shape.of, value);
    case 'nullable':
      return value === null ? undefined : findDeviation(shape.of, value);
    case 'string':
      return findStringDeviation(shape.max ?? DEFAULT_MAX_CHARACTERS, value);
    case 'number':
      return findNumberDeviation(
        shape.min ?? Number.NEGATIVE_INFINITY,
        shape.max ?? Number.POSITIVE_INFINITY,
        value,
      );
    case 'integer':
      return Number.isSafeInteger(value) && Number(value) >= shape.min
        ? undefined
        : createDeviation(`must be a whole number of at least ${shape.min}`);
    case 'boolean':
      return typeof value === 'boolean' ? undefined : createDeviation('must be true or false');
    case 'bytes':
      return value instanceof Uint8Array ? undefined : createDeviation('must be bytes');
    case 'oneOf':
      return typeof value === 'string' && shape.values.includes(value)
        ? undefined
        : createDeviation(`must be one of ${shape.values.join(', ')}`);
    case 'list':
      return findListDeviation(shape.of, shape.max, value);
    case 'tuple':
      return findTupleDeviation(shape.items, value);
    case 'object':
      return findObjectDeviation(shape.fields, value);
  }
}

function findStringDeviation(max: number, value: unknown): Deviation | undefined {
  if (typeof value !== 'string') return createDeviation('must be a string');
  return value.length > max
    ? createDeviation(`has ${value.length} characters, more than ${max}`)
    : undefined;
}

function findNumberDeviation(min: number, max: number, value: unknown): Deviation | undefined {
  if (typeof value !== 'number' || !Number.isFinite(value))
    return createDeviation('must be a finite number');
  if (value < min) return createDeviation(`must be at least ${min}`);
  return value > max ? createDeviation(`must be at most ${max}`) : undefined;
}

function findListDeviation(itemShape: Shape, max: number, value: unknown): Deviation | undefined {
  if (!Array.isArray(value)) return createDeviation('must be a list');
  if (value.length > max) return createDeviation(`has ${value.length} items, more than ${max}`);
  for (const [index, item] of value.entries()) {
    const deviation = findDeviation(itemShape, item);
    if (deviation !== undefined) return prefixPath(`[${index}]`, deviation);
  }
  return undefined;
}

function findTupleDeviation(items: readonly Shape[], value: unknown): Deviation | undefined {
  if (!Array.isArray(value) || value.length < items.length)
    return createDeviation(`must be a list of ${items.length} items`);
  for (const [index, itemShape] of items.entries()) {
    const deviation = findDeviation(itemShape, value[index]);
    if (deviation !== undefined) return prefixPath(`[${index}]`, deviation);
  }
  return undefined;
}

function findObjectDeviation(
  fields: Readonly<Record<string, Shape>>,
  value: unknown,
): Deviation | undefined {
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    return createDeviation('must be an object');
  for (const name in fields) {
    const shape = fields[name];
    const deviation = shape && findDeviation(shape, (value as Record<string, unknown>)[name]);
    if (deviation !== undefined) return prefixPath(`.${name}`, deviation);
  }
  return undefined;
}

function createDeviation(problem: string): Deviation {
  return { path: '', problem };
}

/** The path is composed only when there is a deviation, because it costs more than the checks. */
function prefixPath(prefix: string, deviation: Deviation): Deviation {
  return { path: `${prefix}${deviation.path}`, problem: deviation.problem };
}
