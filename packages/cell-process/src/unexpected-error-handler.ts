import type { Clock } from '@acaciahoist/clock';
import type { EventLog } from '@acaciahoist/types/event-log';

interface Options {
  clock: Clock;
  log: EventLog;
  count: (name: string) => void;
  /** Ends the process. */
  exit: () => void;
}

/** The process ends when more unexpected errors than this occur within `RECENT_WINDOW_MS`. */
const MAX_RECENT_ERRORS = 10;
/** Time in ms for which an unexpected error counts as recent. */
const RECENT_WINDOW_MS = 10_000;

/**
 * Logs and counts errors that no code has handled. A single one, such as from an unforeseen message, must
 * not end the process and its other requests. After many within a short time the process can no longer be
 * relied on, and ends.
 */
export class UnexpectedErrorHandler {
  static create(options: Options): UnexpectedErrorHandler {
    return new UnexpectedErrorHandler(options);
  }

  /** Monotonic times of the errors within the window. */
  private recentErrorsAtMs: number[] = [];

  private constructor(private readonly options: Options) {}

  /** Logs and counts an error; ends the process if there were too many within the window. */
  handle(error: unknown): void {
    const { clock, log, count, exit } = this.options;
    const nowMs = clock.monotonicMs();
    this.recentErrorsAtMs = this.recentErrorsAtMs.filter((atMs) => atMs > nowMs - RECENT_WINDOW_MS);
    this.recentErrorsAtMs.push(nowMs);
    const stack = error instanceof Error ? (error.stack ?? error.message) : String(error);
    log('error', 'unexpected-error', { stack, recent: this.recentErrorsAtMs.length });
    count('unexpected_errors_total');
    if (this.recentErrorsAtMs.length > MAX_RECENT_ERRORS) exit();
  }
}
