import type { LogRecord } from './log-record.js';
import type { Offset } from './offset.js';

/** Result of one read of a log stream. */
export interface LogPage {
  /** Offset of the oldest record that the platform keeps. */
  firstRetained: Offset;
  /** Offset of the next record to be appended. */
  end: Offset;
  /** Records from the requested offset on, or from `firstRetained` on if that is later; without gaps. */
  records: readonly LogRecord[];
}
