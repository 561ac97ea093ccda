import type { LogPage } from '@acaciahoist/types/log-page';
import type { LogRecord } from '@acaciahoist/types/log-record';
import type { Offset } from '@acaciahoist/types/offset';

/**
 * Position of a reader in a log stream. A reader is in a retention gap when records at its position
 * were deleted. It then reads on to a snapshot, a record with the state as of an earlier retained
 * offset, and resumes after that offset.
 */
export class StreamCursor {
  static create(): StreamCursor {
    return new StreamCursor();
  }

  private position: Offset = 0;
  /** First retained offset while the reader is in a gap. */
  private gapEnd: Offset | undefined;

  /** Offset of the record to read next. */
  nextOffset(): Offset {
    return this.position;
  }

  /** True after records at the position were deleted, until `resume` is called. */
  isInGap(): boolean {
    return this.gapEnd !== undefined;
  }

  /** Advances past the record at `offset`. Returns false when it is not the next record. */
  advance(offset: Offset): boolean {
    if (offset !== this.position) return false;
    this.position += 1;
    return true;
  }

  /**
   * Returns true when the record just passed, which contains the state as of `asOf`, can end the gap:
   * `asOf` is before that record, and every record after `asOf` is retained.
   */
  canResume(asOf: Offset): boolean {
    return this.gapEnd !== undefined && asOf + 1 >= this.gapEnd && asOf < this.position - 1;
  }

  /** Ends the gap; the next record is the one after `asOf`. */
  resume(asOf: Offset): void {
    this.position = asOf + 1;
    this.gapEnd = undefined;
  }

  /**
   * Applies a page that was read at `nextOffset()`. A page whose first retained offset is later begins
   * a retention gap. Records at other offsets are ignored.
   */
  applyPage(page: LogPage, apply: (record: LogRecord) => void): void {
    if (page.firstRetained > this.position) {
      this.gapEnd = page.firstRetained;
      this.position = page.firstRetained;
    }
    for (const record of page.records) {
      if (record.offset < this.position) continue;
      if (record.offset > this.position) return;
      apply(record);
      const wasResumed = this.position !== record.offset + 1;
      if (wasResumed) return;
    }
  }
}
