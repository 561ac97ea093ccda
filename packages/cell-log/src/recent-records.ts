/**
 * At twice this number of records the older half is dropped; what remains is about two seconds of a
 * busy cell.
 */
const RETAINED_RECORDS = 4_000;
/** At twice this size of all records, the older half is dropped. */
const RETAINED_BYTES = 2_000_000;

/** Keeps the newest records of a log as they were read, for processes that are slightly behind. */
export class RecentRecords {
  static create(): RecentRecords {
    return new RecentRecords();
  }

  private records: Uint8Array[] = [];
  private firstOffset = 0;
  private bytes = 0;

  /** Adds the record at `offset`; a gap drops all records before it. */
  add(offset: number, data: Uint8Array): void {
    if (offset !== this.firstOffset + this.records.length) this.clear(offset);
    this.records.push(data);
    this.bytes += data.byteLength;
    if (this.records.length > 2 * RETAINED_RECORDS || this.bytes > 2 * RETAINED_BYTES)
      this.dropOldestHalf();
  }

  /** Returns the records from `offset` on; undefined when some of them are no longer kept. */
  readFrom(offset: number): Uint8Array[] | undefined {
    if (offset < this.firstOffset || offset > this.firstOffset + this.records.length)
      return undefined;
    return this.records.slice(offset - this.firstOffset);
  }

  private clear(offset: number): void {
    this.records = [];
    this.firstOffset = offset;
    this.bytes = 0;
  }

  /** Drops many records at once, so that adding a record stays cheap. */
  private dropOldestHalf(): void {
    const dropped = this.records.splice(0, Math.ceil(this.records.length / 2));
    this.firstOffset += dropped.length;
    for (const data of dropped) this.bytes -= data.byteLength;
  }
}
