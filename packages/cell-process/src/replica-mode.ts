import type { Clock } from '@acaciahoist/clock';

/** A process that hears of no replica for this long in ms holds one itself. */
const LONE_MS = 1_500;
/** The same for a machine that is much smaller than others, which do it first. */
const LONE_OUTRANKED_MS = 2_500;
/** A process that is told so for this long in ms gives its replica up; the choice may change again. */
const DISMISSED_MS = 2_000;

/**
 * Decides whether a process holds a replica of the cell: when the owner has chosen it, when it owns the
 * cell, and when it cannot reach any process that holds one.
 */
export class ReplicaMode {
  static create(clock: Clock): ReplicaMode {
    return new ReplicaMode(clock);
  }

  private isHolding = true;
  private isChosen: boolean | undefined;
  private dismissedSinceMs = Number.POSITIVE_INFINITY;

  private constructor(private readonly clock: Clock) {}

  /** To be called once, before a process holds a replica: it waits until it misses one. */
  beginWithout(): void {
    this.isHolding = false;
  }

  /** The owner said whether this process is to hold a replica. */
  chosen(isChosen: boolean): void {
    if (isChosen) this.dismissedSinceMs = Number.POSITIVE_INFINITY;
    else this.dismissedSinceMs = Math.min(this.dismissedSinceMs, this.clock.monotonicMs());
    this.isChosen = isChosen;
  }

  /** `contactAgeMs`: time since another process with a current replica answered. */
  decide(now: { contactAgeMs: number; isOwning: boolean; isOutranked: boolean }): boolean {
    const loneMs = now.isOutranked ? LONE_OUTRANKED_MS : LONE_MS;
    if (now.isOwning || now.contactAgeMs > loneMs) {
      this.isHolding = true;
      this.dismissedSinceMs = Number.POSITIVE_INFINITY;
    } else if (this.isChosen === true) {
      this.isHolding = true;
    } else if (this.clock.monotonicMs() - this.dismissedSinceMs >= DISMISSED_MS) {
      this.isHolding = false;
    }
    return this.isHolding;
  }
}
