import type { Journal } from '@acaciahoist/journal';
import type { Offset } from '@acaciahoist/types/offset';

/** Longest time after which a snapshot that was not appended is requested again. */
const MAX_RETRY_MS = 10_000;

/**
 * Decides when an owner appends a snapshot: after a third of the retention time, so that retention does
 * not remove the only one, or after enough entries.
 */
export class SnapshotSchedule {
  static create(journal: Journal, retentionMs: number, minEntries: number): SnapshotSchedule {
    return new SnapshotSchedule(journal, retentionMs, minEntries);
  }

  private lastSnapshotOffset: Offset = -1;
  private lastSnapshotSeenAtMs = -Infinity;
  private requestedAtMs = -Infinity;

  private constructor(
    private readonly journal: Journal,
    private readonly retentionMs: number,
    private readonly minEntries: number,
  ) {}

  /** Makes a snapshot due at once. For a new owner, as the age of the last snapshot is unknown. */
  reset(): void {
    this.lastSnapshotOffset = this.journal.lastSnapshot();
    this.lastSnapshotSeenAtMs = -Infinity;
    this.requestedAtMs = -Infinity;
  }

  /** Returns true when the caller must append a snapshot now, and then false until the retry time. */
  isDue(nowMs: number): boolean {
    const offset = this.journal.lastSnapshot();
    if (offset !== this.lastSnapshotOffset) {
      this.lastSnapshotOffset = offset;
      this.lastSnapshotSeenAtMs = nowMs;
      this.requestedAtMs = -Infinity;
    }
    if (nowMs - this.requestedAtMs < Math.min(MAX_RETRY_MS, this.retentionMs / 12)) return false;
    const isOld = nowMs - this.lastSnapshotSeenAtMs >= this.retentionMs / 3;
    if (!isOld && this.journal.entriesSinceSnapshot() < this.requiredEntries()) return false;
    this.requestedAtMs = nowMs;
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
