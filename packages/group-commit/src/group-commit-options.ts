import type { Clock } from '@acaciahoist/clock';
import type { Instant } from '@acaciahoist/clock/instant';
import type { Journal } from '@acaciahoist/journal';
import type { LogRecord } from '@acaciahoist/types/log-record';
import type { LogStream } from '@acaciahoist/types/log-stream';
import type { Offset } from '@acaciahoist/types/offset';
import type { StreamReader } from './stream-reader.js';

/** Dependencies and settings of a `GroupCommit`. Times are in ms. */
export interface GroupCommitOptions {
  clock: Clock;
  log: LogStream;
  /** Replay of the stream. It determines which records are valid. */
  journal: Journal;
  /** Fencing token of the owner. */
  token: Offset;
  /** Reads the stream into the journal. */
  reader: StreamReader;
  /** Applies a record of this owner that was acknowledged at the journal's next offset. */
  applyAcknowledged: (record: LogRecord) => void;
  /** True while the stream can contain no claim of another process. */
  isLeaseValid: () => boolean;
  /** Shortest time between the starts of the appends of two records. */
  commitIntervalMs: () => number;
  /** Timeout of the first append of a record, doubled for each repetition. */
  appendTimeoutMs: number;
  /** Time after which a commit call fails: as not appended, or as unknown if its record was sent. */
  entryWaitMs: number;
  maxWaitingEntries: number;
  maxWaitingBytes: number;
  /** Called when a record is durable. It was appended no earlier than `since`. */
  onDurable: (since: Instant) => void;
  /** Called when another process has claimed the partition, or may have claimed it. */
  onFenced: () => void;
}
