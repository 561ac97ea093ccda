interface Entry {
  /** Offset of the cancel, or a later one for an entry from a snapshot. */
  offset: number;
  /** Time of the cell from which the retention time counts; undefined until an owner has recorded a later time. */
  retainedFromMs: number | undefined;
}

/**
 * Maximum number of ids, the newest ones. When 40 processes append as many cancels of unknown jobs as each may (10 a
 * second), an id stays for 20 s, several times the 3 s for which a client without a deadline waits.
 */
const MAX_IDS = 8_192;

/**
 * Ids whose cancel is in the log before any job of that id. A job record that follows has no effect but the record of
 * a cancelled job, so that a submission that was delayed on its way starts nothing.
 */
export class CancelledIds {
  /** Creates an empty list. An id is kept for at least `retentionMs` unless too many others follow. */
  static create(retentionMs: number): CancelledIds {
    return new CancelledIds(retentionMs);
  }

  /** Entries by id, in the order of their cancels. */
  private readonly entries = new Map<string, Entry>();

  private constructor(private readonly retentionMs: number) {}

  has(id: string): boolean {
    return this.entries.has(id);
  }

  /** Adds an id, or counts its retention time again. */
  add(id: string, offset: number, retainedFromMs?: number): void {
    this.entries.delete(id);
    this.entries.set(id, { offset, retainedFromMs });
    for (const oldest of this.entries.keys()) {
      if (this.entries.size <= MAX_IDS) break;
      this.entries.delete(oldest);
    }
  }

  /** Removes an id; false when it is not in the list. */
  remove(id: string): boolean {
    return this.entries.delete(id);
  }

  /** Ids with the time of the cell from which their retention time counts, in the order of their cancels. */
  list(): (readonly [id: string, retainedFromMs: number | null])[] {
    return [...this.entries].map(([id, entry]) => [id, entry.retainedFromMs ?? null]);
  }

  /**
   * Removes the ids whose retention time has passed at the time of the cell `timeMs`, at which all records before
   * `asOfOffset` were in the log.
   */
  expire(timeMs: number, asOfOffset: number): void {
    for (const [id, entry] of this.entries) {
      if (entry.offset < asOfOffset) entry.retainedFromMs ??= timeMs;
      // Equal times do not show that the whole time has passed, because recorded times are rounded down.
      if (entry.retainedFromMs !== undefined && timeMs > entry.retainedFromMs + this.retentionMs)
        this.entries.delete(id);
    }
  }
}
