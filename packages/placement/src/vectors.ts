/** Amounts of resources in the order of `ResourceKinds`; missing entries are zero. */
function at(vector: readonly number[], index: number): number {
  return vector[index] ?? 0;
}

/** Arithmetic on resource vectors. */
export const vectors = {
  at,

  fits(demand: readonly number[], capacity: readonly number[]): boolean {
    for (let i = 0; i < demand.length; i += 1) {
      const amount = at(demand, i);
      if (amount > 0 && amount > at(capacity, i)) return false;
    }
    return true;
  },

  /** Adds `times × amount` to `target` in place. */
  addTo(target: number[], amount: readonly number[], factor = 1): void {
    for (let i = 0; i < amount.length; i += 1) target[i] = at(target, i) + factor * at(amount, i);
  },

  max(left: readonly number[], right: readonly number[]): number[] {
    const result: number[] = [];
    const length = Math.max(left.length, right.length);
    for (let i = 0; i < length; i += 1) result.push(Math.max(at(left, i), at(right, i)));
    return result;
  },

  min(left: readonly number[], right: readonly number[]): number[] {
    const result: number[] = [];
    const length = Math.max(left.length, right.length);
    for (let i = 0; i < length; i += 1) result.push(Math.min(at(left, i), at(right, i)));
    return result;
  },

  isZero(vector: readonly number[]): boolean {
    return vector.every((amount) => amount === 0);
  },

  /** Largest part of `whole` that `amount` takes in any resource. */
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

  /** Index of the first resource of which `need` exceeds `room`, or -1. */
  indexOfShortage(demand: readonly number[], capacity: readonly number[]): number {
    return demand.findIndex((amount, i) => amount > 0 && amount > at(capacity, i));
  },
};
