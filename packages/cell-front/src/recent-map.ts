import type { Clock } from '@acaciahoist/clock';

interface Options {
  clock: Clock;
  /** Time in ms for which a value is kept. */
  maxAgeMs: number;
  maxSize: number;
}

/**
 * Map without values that have reached a maximum age. They are removed in `set`, as are the oldest above a
 * maximum size.
 */
export class RecentMap<Value> {
  static create<Value>(options: Options): RecentMap<Value> {
    return new RecentMap<Value>(options);
  }

  private readonly entries = new Map<string, { value: Value; atMs: number }>();

  private constructor(private readonly options: Options) {}

  get(key: string): Value | undefined {
    return this.has(key) ? this.entries.get(key)?.value : undefined;
  }

  has(key: string): boolean {
    return this.ageMs(key) < this.options.maxAgeMs;
  }

  /** Time in ms since the value of the key was set; infinite for a key without one. */
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
