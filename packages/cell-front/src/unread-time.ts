import type { Clock } from '@acaciahoist/clock';
import { Instant } from '@acaciahoist/clock/instant';

/** Interval in ms of the timer whose delay shows that the process stood still. */
const TICK_MS = 100;
/** A shorter time without a tick in ms is load, not a stall: clients wait longer than this. */
const MIN_STALL_MS = 500;
/**
 * Time in ms after a stall within which the requests that arrived during it are read. A slow machine accepts and reads
 * the 511 connections that the system keeps in less.
 */
const CATCH_UP_MS = 1_000;

/**
 * Bounds how long a request may have waited before this process read it. While a process or its machine is stopped,
 * the system accepts connections and keeps the requests; nothing in a request tells when it arrived.
 */
export class UnreadTime {
  static create(clock: Clock): UnreadTime {
    return new UnreadTime(clock);
  }

  private tickedAt: Instant;
  private stall: { startedAt: Instant; endedAt: Instant } | undefined;
  private cancel: () => void = () => undefined;

  private constructor(private readonly clock: Clock) {
    this.tickedAt = Instant.create(clock);
  }

  start(): void {
    this.tickedAt = Instant.create(this.clock);
    this.scheduleTick();
  }

  stop(): void {
    this.cancel();
  }

  /** Upper bound in ms of the time for which a request that was read just now had waited; 0 without a stall. */
  boundMs(): number {
    const sinceTickMs = this.tickedAt.ageMs();
    if (sinceTickMs >= MIN_STALL_MS) return sinceTickMs;
    const { stall } = this;
    return stall !== undefined && stall.endedAt.ageMs() < CATCH_UP_MS ? stall.startedAt.ageMs() : 0;
  }

  private scheduleTick(): void {
    this.cancel = this.clock.after(TICK_MS, () => {
      const now = Instant.create(this.clock);
      if (this.tickedAt.ageMs() >= MIN_STALL_MS)
        this.stall = { startedAt: this.tickedAt, endedAt: now };
      this.tickedAt = now;
      this.scheduleTick();
    });
  }
}
