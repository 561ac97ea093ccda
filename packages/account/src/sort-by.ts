/** Sorts by keys in order of UTF-16 code units, which does not depend on the locale. */
export function sortBy<T>(
  items: Iterable<T>,
  keysOf: (item: T) => readonly string[],
): readonly T[] {
  const keyed = Array.from(items, (item) => ({ item, keys: keysOf(item) }));
  keyed.sort((left, right) => {
    for (const [index, key] of left.keys.entries()) {
      const otherKey = right.keys[index] ?? '';
      if (key !== otherKey) return key < otherKey ? -1 : 1;
    }
    return 0;
  });
  return keyed.map(({ item }) => item);
}
