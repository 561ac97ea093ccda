/** Returns the amount at an index; missing entries count as 0. */
function at(vector: readonly number[], index: number): number {
  return vector[index] ?? 0;
}

/** Arithmetic on vectors of resource amounts, whose order `ResourceKinds` defines. */
export const vectors = {
  at,

  /** Whether the capacity covers every resource of which the demand is above 0. */
  fits(demand: readonly number[], capacity: readonly number[]): boolean {
    for (let i = 0; i < demand.length; i += 1) {
      const amount = at(demand, i);
      if (amount > 0 && amount > at(capacity, i)) return false;
    }
    return true;
  },

  /** Adds `factor × amount` to `target` in place. */
  addTo(target: number[], amount: readonly number[], factor = 1): void {
    for (let i = 0; i < amount.length; i += 1) target[i] = at(target, i) + factor * at(amount, i);
  },

  /** Returns the greater amount of each resource. */
  max(left: readonly number[], right: readonly number[]): number[] {
    const result: number[] = [];
    const length = Math.max(left.length, right.length);
    for (let i = 0; i < length; i += 1) result.push(Math.max(at(left, i), at(right, i)));
    return result;
  },

  /** Returns the lesser amount of each resource. */
  min(left: readonly number[], right: readonly number[]): number[] {
    const result: number[] = [];
    const length = Math.max(left.length, right.length);
    for (let i = 0; i < length; i += 1) result.push(Math.min(at(left, i), at(right, i)));
    return result;
  },

  isZero(vector: readonly number[]): boolean {
    return vector.every((amount) => amount === 0);
  },

  /** Returns the largest ratio of `amount` to `whole` over all resources. */
  dominantShare(amount: readonly number[], whole: readonly number[]): number {
    let share = 0;
    for (let i = 0; i < amount.length; i += 1) {
      const used = at(amount, i);
      const total = at(whole, i);
      if (used <= 0 || total <= 0) continue;
      share = Math.max(share, used / total);
    }
    return share;
  },

  /** Returns the index of the first resource of which the demand exceeds the capacity, or -1. */
  indexOfShortage(demand: readonly number[], capacity: readonly number[]): number {
    return demand.findIndex((amount, i) => amount > 0 && amount > at(capacity, i));
  },
};
