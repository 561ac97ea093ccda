import type { Resources } from '@acaciahoist/types/resources';

/**
 * Converts resources to vectors: millicores, memory in MiB, then one entry for each kind of accelerator,
 * in the order of first use.
 */
export class ResourceKinds {
  static create(): ResourceKinds {
    return new ResourceKinds([]);
  }

  private readonly indexes = new Map<string, number>();

  private constructor(private readonly accelerators: string[]) {}

  toVector(resources: Resources): number[] {
    const vector = [Math.ceil(resources.millicores), Math.ceil(resources.memoryMib)];
    for (const kind in resources.accelerators) {
      const index = this.getOrAddIndex(kind);
      while (vector.length <= index) vector.push(0);
      vector[index] = Math.ceil(resources.accelerators[kind] ?? 0);
    }
    return vector;
  }

  toResources(vector: readonly number[]): Resources {
    const accelerators: Record<string, number> = {};
    for (let i = 2; i < vector.length; i += 1) {
      const amount = vector[i] ?? 0;
      if (amount > 0) accelerators[this.getName(i)] = amount;
    }
    return { millicores: vector[0] ?? 0, memoryMib: vector[1] ?? 0, accelerators };
  }

  /** Returns the name of the resource at an index of the vectors. */
  getName(index: number): string {
    if (index === 0) return 'millicores';
    if (index === 1) return 'memoryMib';
    return this.accelerators[index - 2] ?? 'unknown';
  }

  /** Returns the index of a kind of accelerator in the vectors; a new kind gets the next index. */
  private getOrAddIndex(kind: string): number {
    const existing = this.indexes.get(kind);
    if (existing !== undefined) return existing;
    this.accelerators.push(kind);
    const index = this.accelerators.length + 1;
    this.indexes.set(kind, index);
    return index;
  }
}
