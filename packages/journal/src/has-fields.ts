/**
 * Type of one field of a decoded record. `offset` is an integer from -1, `nullable` an object or
 * null, and `any` a field of any type that is present.
 */
type FieldType = 'string' | 'number' | 'offset' | 'object' | 'array' | 'nullable' | 'any';

function hasType(value: unknown, type: FieldType): boolean {
  if (type === 'any') return value !== undefined;
  if (type === 'array') return Array.isArray(value);
  if (type === 'object') return typeof value === 'object' && value !== null;
  if (type === 'nullable') return typeof value === 'object';
  if (type === 'offset') return Number.isSafeInteger(value) && (value as number) >= -1;
  if (type === 'number') return Number.isFinite(value);
  return typeof value === 'string';
}

/**
 * Returns true when the value is an object whose fields have the given types; other fields may be
 * present.
 */
export function hasFields(value: unknown, fields: Readonly<Record<string, FieldType>>): boolean {
  if (typeof value !== 'object' || value === null) return false;
  const object = value as Record<string, unknown>;
  return Object.entries(fields).every(([name, type]) => hasType(object[name], type));
}
