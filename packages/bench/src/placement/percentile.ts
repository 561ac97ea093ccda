/** Returns the value below which the share `part` of the values lies; 0 without values. */
export function percentile(values: readonly number[], part: number): number {
  if (values.length === 0) return 0;
  const sorted = Float64Array.from(values).sort();
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}
