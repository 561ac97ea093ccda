/** Pseudo-random numbers (mulberry32): the same seed gives the same numbers on every machine. */
export class Random {
  static create(seed: number): Random {
    return new Random(seed >>> 0);
  }

  private constructor(private state: number) {}

  /** Next number, uniform in [0, 1). */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(this.state ^ (this.state >>> 15), this.state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  }

  /** Integer, uniform in [low, high]. */
  integer(low: number, high: number): number {
    return low + Math.floor(this.next() * (high - low + 1));
  }

  /** One of the values: each is half as likely as the value before it, the last two are equally likely. */
  pickSkewed<Value>(values: readonly [Value, ...Value[]]): Value {
    const position = Math.min(values.length - 1, Math.floor(-Math.log2(1 - this.next())));
    return values[position] ?? values[0];
  }

  /** Factor between 1/4 and 4, uniform on a logarithmic scale. */
  logUniformFactor(): number {
    return 4 ** (2 * this.next() - 1);
  }

  /** Time in ms to the next event of a Poisson process with `perSecond` events a second. */
  poissonIntervalMs(perSecond: number): number {
    return (-Math.log(1 - this.next()) * 1000) / perSecond;
  }
}
