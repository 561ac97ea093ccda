import type { Clock } from '@acaciahoist/clock';
import type { EventLog } from '@acaciahoist/types/event-log';

/** Time in ms for which a faulty record is logged once; an owner reads each entry again every 2.5 s. */
const REPEAT_INTERVAL_MS = 60_000;
/** Number of keys that are logged within `REPEAT_INTERVAL_MS`; bounds memory and the rate of lines. */
const MAX_KEYS = 200;

/**
 * Logs faulty records of a keyed topic, at most one line for a key within `REPEAT_INTERVAL_MS`. A line has the
 * number of lines that were suppressed since the previous one.
 */
export class RecordFaultLog {
  static create(options: { clock: Clock; log: EventLog }): RecordFaultLog {
    return new RecordFaultLog(options.clock, options.log);
  }

  /** Monotonic times at which the keys were logged, oldest first. */
  private readonly loggedAtMs = new Map<string, number>();
  private suppressedLines = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** Logs a fault of the record with this key, unless the key was logged a short time before. */
  write(key: string, ...[level, event, fields]: Parameters<EventLog>): void {
    const nowMs = this.clock.monotonicMs();
    for (const [loggedKey, atMs] of this.loggedAtMs) {
      if (nowMs - atMs < REPEAT_INTERVAL_MS) break;
      this.loggedAtMs.delete(loggedKey);
    }
    if (this.loggedAtMs.has(key) || this.loggedAtMs.size >= MAX_KEYS) {
      this.suppressedLines += 1;
      return;
    }
    this.loggedAtMs.set(key, nowMs);
    this.log(level, event, { ...fields, suppressedLines: this.suppressedLines });
    this.suppressedLines = 0;
  }
}
