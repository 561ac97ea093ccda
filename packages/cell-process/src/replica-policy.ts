import type { Clock } from '@acaciahoist/clock';

/**
 * A process holds a replica itself after this time in ms without contact with another process that holds one.
 */
const MAX_CONTACT_AGE_MS = 1_500;
/**
 * A process on an outranked machine holds a replica itself after this time in ms without such contact;
 * longer, so that larger machines load a replica first.
 */
const MAX_OUTRANKED_CONTACT_AGE_MS = 2_500;
/**
 * A process drops its replica after this time in ms in which the owner has not chosen it as a standby. The
 * owner's choice may change again within that time.
 */
const MIN_NOT_CHOSEN_MS = 2_000;

/**
 * Decides whether a process holds a replica of the cell. It does when the owner has chosen it as a standby,
 * when it owns the cell, and when it cannot reach any process that holds one.
 */
export class ReplicaPolicy {
  static create(clock: Clock): ReplicaPolicy {
    return new ReplicaPolicy(clock);
  }

  private holdsReplica = true;
  /** Whether the owner has chosen this process as a standby; undefined until an owner reports it. */
  private isChosen: boolean | undefined;
  private notChosenSinceMs = Number.POSITIVE_INFINITY;

  private constructor(private readonly clock: Clock) {}

  /**
   * Makes the process hold no replica until `decide` has a reason for one. Must be called before the first
   * call of `decide`, if at all.
   */
  startWithoutReplica(): void {
    this.holdsReplica = false;
  }

  /** Sets whether the owner has chosen this process as a standby. */
  setChosen(isChosen: boolean): void {
    if (isChosen) this.notChosenSinceMs = Number.POSITIVE_INFINITY;
    else this.notChosenSinceMs = Math.min(this.notChosenSinceMs, this.clock.monotonicMs());
    this.isChosen = isChosen;
  }

  /**
   * True when the process is to hold a replica. `contactAgeMs`: time since another process with a current
   * replica answered.
   */
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
