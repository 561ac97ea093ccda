import type { Offset } from './offset.js';

/** One record as read from a log stream. */
export interface LogRecord {
  offset: Offset;
  data: Uint8Array;
}
