import type { Tree } from './tree.js';

/** Reads fields of a record that may have faults. A field of another type is treated as absent. */
export const treeField = {
  /** The value of the field, of any type. */
  tree(record: Tree, name: string): Tree | undefined {
    if (record.type !== 'record') return undefined;
    return record.entries.find((entry) => entry.name === name)?.value;
  },

  /** The value of the field if it is a string. */
  text(record: Tree, name: string): string | undefined {
    const tree = treeField.tree(record, name);
    return tree?.type === 'literal' && typeof tree.value === 'string' ? tree.value : undefined;
  },

  /** The value of the field if it is a safe integer. */
  integer(record: Tree, name: string): number | undefined {
    const tree = treeField.tree(record, name);
    if (tree?.type !== 'literal' || typeof tree.value !== 'number') return undefined;
    return Number.isSafeInteger(tree.value) ? tree.value : undefined;
  },

  /** The items of the field if it is a list, otherwise none. */
  items(record: Tree, name: string): readonly Tree[] {
    const tree = treeField.tree(record, name);
    return tree?.type === 'list' ? tree.items : [];
  },
};
