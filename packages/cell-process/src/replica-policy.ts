import type { Clock } from '@acaciahoist/clock';

/** A process that hears of no replica for this long in ms holds one itself. */
const MAX_CONTACT_AGE_MS = 1_500;
/** The same for a machine that is much smaller than others, which do it first. */
const MAX_OUTRANKED_CONTACT_AGE_MS = 2_500;
/** A process that is told so for this long in ms gives its replica up; the choice may change again. */
const MIN_NOT_CHOSEN_MS = 2_000;

/**
 * Decides whether a process holds a replica of the cell: when the owner has chosen it, when it owns the
 * cell, and when it cannot reach any process that holds one.
 */
export class ReplicaPolicy {
  static create(clock: Clock): ReplicaPolicy {
    return new ReplicaPolicy(clock);
  }

  private holdsReplica = true;
  private isChosen: boolean | undefined;
  private notChosenSinceMs = Number.POSITIVE_INFINITY;

  private constructor(private readonly clock: Clock) {}

  /** To be called once, before a process holds a replica: it waits until it misses one. */
  startWithoutReplica(): void {
    this.holdsReplica = false;
  }

  /** The owner said whether this process is to hold a replica. */
  setChosen(isChosen: boolean): void {
    if (isChosen) this.notChosenSinceMs = Number.POSITIVE_INFINITY;
    else this.notChosenSinceMs = Math.min(this.notChosenSinceMs, this.clock.monotonicMs());
    this.isChosen = isChosen;
  }

  /** `contactAgeMs`: time since another process with a current replica answered. */
  decide(situation: { contactAgeMs: number; isOwning: boolean; isOutranked: boolean }): boolean {
    const maxContactAgeMs = situation.isOutranked
      ? MAX_OUTRANKED_CONTACT_AGE_MS
      : MAX_CONTACT_AGE_MS;
    if (situation.isOwning || situation.contactAgeMs > maxContactAgeMs) {
      this.holdsReplica = true;
      this.notChosenSinceMs = Number.POSITIVE_INFINITY;
    } else if (this.isChosen === true) {
      this.holdsReplica = true;
    } else if (this.clock.monotonicMs() - this.notChosenSinceMs >= MIN_NOT_CHOSEN_MS) {
      this.holdsReplica = false;
    }
    return this.holdsReplica;
  }
}
