/** Pseudo-random numbers from a seed (mulberry32), so that a run can be repeated. */
export class Random {
  static create(seed: number): Random {
    return new Random(seed >>> 0);
  }

  private constructor(private state: number) {}

  /** A number from 0 up to, and without, 1. */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let mixed = this.state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  }

  /** A whole number from 0 up to, and without, `below`. */
  below(below: number): number {
    return Math.floor(this.next() * below);
  }
}
