import type { Resources } from '@acaciahoist/types/resources';

/**
 * Converts resources to vectors: millicores, memory in MiB, then accelerator kinds by first use.
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
      const index = this.indexOf(kind);
      while (vector.length <= index) vector.push(0);
      vector[index] = Math.ceil(resources.accelerators[kind] ?? 0);
    }
    return vector;
  }

  toResources(vector: readonly number[]): Resources {
    const accelerators: Record<string, number> = {};
    for (let i = 2; i < vector.length; i += 1) {
      const amount = vector[i] ?? 0;
      if (amount > 0) accelerators[this.name(i)] = amount;
    }
    return { millicores: vector[0] ?? 0, memoryMib: vector[1] ?? 0, accelerators };
  }

  /** Returns the name of the resource at an index of the vectors. */
  name(index: number): string {
    if (index === 0) return 'millicores';
    if (index === 1) return 'memoryMib';
    return this.accelerators[index - 2] ?? 'unknown';
  }

  private indexOf(kind: string): number {
    const known = this.indexes.get(kind);
    if (known !== undefined) return known;
    this.accelerators.push(kind);
    const index = this.accelerators.length + 1;
    this.indexes.set(kind, index);
    return index;
  }
}
