import type { Clock } from '@acaciahoist/clock';
import { StreamReader } from '@acaciahoist/group-commit/stream-reader';
import type { Journal } from '@acaciahoist/journal';
import type { LogPage } from '@acaciahoist/types/log-page';
import type { LogRecord } from '@acaciahoist/types/log-record';
import type { LogStream } from '@acaciahoist/types/log-stream';

/** Reads a partition's stream into its journal and stores when the last owner record was read. */
export class JournalReader {
  static create(clock: Clock, log: LogStream, journal: Journal): JournalReader {
    return new JournalReader(clock, log, journal);
  }

  readonly stream: StreamReader;
  private lastOwnerRecordReadAtMs = -Infinity;

  private constructor(
    private readonly clock: Clock,
    log: LogStream,
    readonly journal: Journal,
  ) {
    this.stream = StreamReader.create(log, {
      nextOffset: () => journal.nextOffset(),
      hasState: () => journal.hasState(),
      applyPage: (page: LogPage) => {
        this.trackOwnerRecord(() => {
          journal.applyPage(page);
        });
      },
    });
  }

  /**
   * Monotonic time at which the last valid owner record was read. A claimant waits for one lease from
   * this time on.
   */
  ownerRecordReadAtMs(): number {
    return this.lastOwnerRecordReadAtMs;
  }

  /** Applies a record of this process that the log acknowledged at the journal's next offset. */
  applyOwn(record: LogRecord): void {
    this.trackOwnerRecord(() => {
      this.journal.apply(record);
    });
  }

  private trackOwnerRecord(apply: () => void): void {
    const previousOwnerRecord = this.journal.lastOwnerRecord();
    apply();
    if (this.journal.lastOwnerRecord() !== previousOwnerRecord)
      this.lastOwnerRecordReadAtMs = this.clock.monotonicMs();
  }
}
