/** Binary heap of items by due time, ms. */
export class DueHeap<Item> {
  static create<Item>(): DueHeap<Item> {
    return new DueHeap<Item>([]);
  }

  private constructor(private readonly nodes: { atMs: number; item: Item }[]) {}

  get size(): number {
    return this.nodes.length;
  }

  push(atMs: number, item: Item): void {
    const node = { atMs, item };
    let position = this.nodes.push(node) - 1;
    while (position > 0) {
      const parentPosition = (position - 1) >> 1;
      const parentNode = this.nodes[parentPosition];
      if (parentNode === undefined || parentNode.atMs <= atMs) break;
      this.nodes[position] = parentNode;
      position = parentPosition;
    }
    this.nodes[position] = node;
  }

  /** Removes and returns the earliest item, or null when none is due. */
  popDue(nowMs: number): Item | null {
    const earliest = this.nodes[0];
    if (earliest === undefined || earliest.atMs > nowMs) return null;
    const last = this.nodes.pop();
    if (last !== undefined && last !== earliest) this.siftDown(last);
    return earliest.item;
  }

  /** Moves the node from the root down to its position. */
  private siftDown(node: { atMs: number; item: Item }): void {
    let position = 0;
    for (;;) {
      let childPosition = 2 * position + 1;
      const rightNode = this.nodes[childPosition + 1];
      if (rightNode !== undefined && rightNode.atMs < (this.nodes[childPosition]?.atMs ?? Infinity))
        childPosition += 1;
      const childNode = this.nodes[childPosition];
      if (childNode === undefined || childNode.atMs >= node.atMs) break;
      this.nodes[position] = childNode;
      position = childPosition;
    }
    this.nodes[position] = node;
  }
}
