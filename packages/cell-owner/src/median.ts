/** Returns the median of the values; NaN when there are none. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle] ?? Number.NaN;
  return sorted.length % 2 === 1 ? upper : (upper + (sorted[middle - 1] ?? Number.NaN)) / 2;
}
