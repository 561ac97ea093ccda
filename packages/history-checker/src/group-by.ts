/** Groups items by an id and keeps their order. Items whose id is null are left out. */
export function groupBy<Item>(
  items: readonly Item[],
  readId: (item: Item) => string | null,
): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const id = readId(item);
    if (id === null) continue;
    const group = groups.get(id);
    if (group === undefined) groups.set(id, [item]);
    else group.push(item);
  }
  return groups;
}
