/** Repeatable random numbers (mulberry32). */
export class Random {
  static create(seed: number): Random {
    return new Random(seed >>> 0);
  }

  private constructor(private state: number) {}

  /** Uniform in [0, 1). */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(this.state ^ (this.state >>> 15), this.state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  }

  /** Integer in [low, high]. */
  integer(low: number, high: number): number {
    return low + Math.floor(this.next() * (high - low + 1));
  }

  /** One of the values, the first ones more often: each is half as likely as the one before it. */
  skewed<Value>(values: readonly [Value, ...Value[]]): Value {
    const position = Math.min(values.length - 1, Math.floor(-Math.log2(1 - this.next())));
    return values[position] ?? values[0];
  }

  /** Factor between 1/4 and 4, uniform on a logarithmic scale. */
  factor(): number {
    return 4 ** (2 * this.next() - 1);
  }

  /** Time to the next event of a Poisson process, ms. */
  interval(perSecond: number): number {
    return (-Math.log(1 - this.next()) * 1000) / perSecond;
  }
}
