import type { Clock } from '@acaciahoist/clock';
import { Instant } from '@acaciahoist/clock/instant';
import type { Journal } from '@acaciahoist/journal';
import type { Offset } from '@acaciahoist/types/offset';

/** Longest time after which a snapshot that was not appended is requested again. */
const MAX_RETRY_MS = 10_000;

/**
 * Decides when an owner appends a snapshot: after a third of the retention time, so that retention does
 * not remove the only one, or after enough entries.
 */
export class SnapshotSchedule {
  static create(
    clock: Clock,
    journal: Journal,
    retentionMs: number,
    minEntries: number,
  ): SnapshotSchedule {
    return new SnapshotSchedule(clock, journal, retentionMs, minEntries);
  }

  private lastSnapshotOffset: Offset = -1;
  private lastSnapshotSeen: Instant;
  private lastRequest: Instant;

  private constructor(
    private readonly clock: Clock,
    private readonly journal: Journal,
    private readonly retentionMs: number,
    private readonly minEntries: number,
  ) {
    this.lastSnapshotSeen = Instant.create(clock, Infinity);
    this.lastRequest = Instant.create(clock, Infinity);
  }

  /** Makes a snapshot due at once. For a new owner, as the age of the last snapshot is unknown. */
  reset(): void {
    this.lastSnapshotOffset = this.journal.lastSnapshot();
    this.lastSnapshotSeen = Instant.create(this.clock, Infinity);
    this.lastRequest = Instant.create(this.clock, Infinity);
  }

  /** Returns true when the caller must append a snapshot now, and then false until the retry time. */
  isDue(): boolean {
    const offset = this.journal.lastSnapshot();
    if (offset !== this.lastSnapshotOffset) {
      this.lastSnapshotOffset = offset;
      this.lastSnapshotSeen = Instant.create(this.clock);
      this.lastRequest = Instant.create(this.clock, Infinity);
    }
    const retryMs = Math.min(MAX_RETRY_MS, this.retentionMs / 12);
    if (this.lastRequest.ageMs() < retryMs) return false;
    const isOld = this.lastSnapshotSeen.ageMs() >= this.retentionMs / 3;
    if (!isOld && this.journal.entriesSinceSnapshot() < this.requiredEntries()) return false;
    this.lastRequest = Instant.create(this.clock);
    return true;
  }

  /**
   * Entries after which a snapshot is due. At least as many as the state has items, so that snapshots
   * cost O(1) per entry.
   */
  private requiredEntries(): number {
    const { jobs, keys } = this.journal.state();
    return Math.max(this.minEntries, jobs.size + keys.size);
  }
}
