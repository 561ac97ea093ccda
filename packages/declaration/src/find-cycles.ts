/**
 * Finds dependency cycles by a depth-first search. Each is returned as a path whose last name equals
 * its first, at most `maxCycles` of them. Not every cycle is returned, but unless the limit is
 * reached, the graph has no cycle once the last edge of each returned path is removed.
 */
export function findCycles(
  graph: ReadonlyMap<string, readonly string[]>,
  maxCycles: number,
): readonly (readonly string[])[] {
  const cycles: string[][] = [];
  /** Names from which the search has followed every edge. */
  const finished = new Set<string>();
  /** Index in `path` by name, for the names on the current path. */
  const pathIndexes = new Map<string, number>();
  const path: { name: string; next: number }[] = [];

  const enter = (name: string) => {
    pathIndexes.set(name, path.length);
    path.push({ name, next: 0 });
  };

  for (const start of graph.keys()) {
    if (finished.has(start)) continue;
    enter(start);
    // The path is kept in a list, because recursion over a long chain overflows the stack.
    for (let top = path.at(-1); top !== undefined; top = path.at(-1)) {
      const target = graph.get(top.name)?.[top.next];
      top.next += 1;
      if (target === undefined) {
        path.pop();
        pathIndexes.delete(top.name);
        finished.add(top.name);
        continue;
      }
      const cycleStart = pathIndexes.get(target);
      if (cycleStart !== undefined) {
        cycles.push([...path.slice(cycleStart).map(({ name }) => name), target]);
        if (cycles.length >= maxCycles) return cycles;
      } else if (graph.has(target) && !finished.has(target)) enter(target);
    }
  }
  return cycles;
}
