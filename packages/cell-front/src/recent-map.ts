import type { Clock } from '@acaciahoist/clock';

interface Options {
  clock: Clock;
  /** Time in ms for which a value is kept. */
  maxAgeMs: number;
  maxSize: number;
}

/** Map that drops values above a maximum age, and the oldest above a maximum size, in `set`. */
export class RecentMap<Value> {
  static create<Value>(options: Options): RecentMap<Value> {
    return new RecentMap<Value>(options);
  }

  private readonly entries = new Map<string, { value: Value; atMs: number }>();

  private constructor(private readonly options: Options) {}

  get(key: string): Value | undefined {
    return this.entries.get(key)?.value;
  }

  has(key: string): boolean {
    return this.entries.has(key);
  }

  /** Age of a value in ms; infinite for a key without a value. */
  ageMs(key: string): number {
    const entry = this.entries.get(key);
    if (entry === undefined) return Number.POSITIVE_INFINITY;
    return this.options.clock.monotonicMs() - entry.atMs;
  }

  set(key: string, value: Value): void {
    const { clock, maxAgeMs, maxSize } = this.options;
    const nowMs = clock.monotonicMs();
    this.entries.delete(key);
    this.entries.set(key, { value, atMs: nowMs });
    for (const [oldest, { atMs }] of this.entries) {
      if (this.entries.size <= maxSize && nowMs - atMs < maxAgeMs) break;
      this.entries.delete(oldest);
    }
  }

  delete(key: string): void {
    this.entries.delete(key);
  }
}
