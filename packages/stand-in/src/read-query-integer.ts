/**
 * Reads an integer query parameter: `defaultValue` when it is missing, undefined when it is out of
 * range.
 */
export function readQueryInteger(
  query: URLSearchParams,
  name: string,
  min: number,
  max: number,
  defaultValue: number,
): number | undefined {
  const text = query.get(name);
  if (text === null) return defaultValue;
  const value = Number(text);
  return /^\d{1,16}$/.test(text) && value >= min && value <= max ? value : undefined;
}
