import type { LogPage } from '@acaciahoist/types/log-page';
import type { LogRecord } from '@acaciahoist/types/log-record';

/** The records of one stream. The oldest are removed by age and by number. */
export class StreamStore {
  static create(): StreamStore {
    return new StreamStore();
  }

  private records: { atMs: number; data: Uint8Array }[] = [];
  /** Offset of `records[0]`. */
  private baseOffset = 0;
  private firstRetained = 0;
  private readonly appendListeners = new Set<() => void>();

  /** Offset of the next record. */
  get end(): number {
    return this.baseOffset + this.records.length;
  }

  /** Adds a record, calls the listeners and returns the offset of the record. */
  append(data: Uint8Array, atMs: number): number {
    this.records.push({ atMs, data });
    const offset = this.end - 1;
    for (const notify of [...this.appendListeners]) notify();
    return offset;
  }

  /**
   * Removes the records that were appended before `oldestMs`, and the oldest ones beyond `maxRecords`.
   */
  trim(oldestMs: number, maxRecords: number): void {
    let newFirstRetained = Math.max(this.firstRetained, this.end - maxRecords);
    while (
      newFirstRetained < this.end &&
      (this.records[newFirstRetained - this.baseOffset]?.atMs ?? oldestMs) < oldestMs
    ) {
      newFirstRetained += 1;
    }
    this.firstRetained = newFirstRetained;
    // Removing from the front copies the array, so over 1000 records are removed at a time.
    if (newFirstRetained - this.baseOffset > 1_000) {
      this.records = this.records.slice(newFirstRetained - this.baseOffset);
      this.baseOffset = newFirstRetained;
    }
  }

  /**
   * Reads the records at `from` and later that fit into `maxBytes`, and at least one if there is
   * any.
   */
  read(from: number, maxBytes: number): LogPage {
    const records: LogRecord[] = [];
    let bytes = 0;
    for (let offset = Math.max(from, this.firstRetained); offset < this.end; offset += 1) {
      const data = this.records[offset - this.baseOffset]?.data ?? new Uint8Array();
      bytes += data.length;
      if (records.length > 0 && bytes > maxBytes) break;
      records.push({ offset, data });
    }
    return { firstRetained: this.firstRetained, end: this.end, records };
  }

  /** Calls `listener` at every append until the returned function is called. */
  onAppend(listener: () => void): () => void {
    this.appendListeners.add(listener);
    return () => this.appendListeners.delete(listener);
  }

  /** Calls the listeners without an append, so that they check for an outage. */
  notifyListeners(): void {
    for (const notify of [...this.appendListeners]) notify();
  }
}
