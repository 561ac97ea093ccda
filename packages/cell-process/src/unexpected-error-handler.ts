import type { Clock } from '@acaciahoist/clock';
import type { EventLog } from '@acaciahoist/types/event-log';

interface Options {
  clock: Clock;
  log: EventLog;
  count: (name: string) => void;
  /** Ends the process. */
  exit: () => void;
}

/** More unexpected errors than this within the window mean that the process no longer works. */
const MAX_RECENT_ERRORS = 10;
/** Length of the window in ms. */
const RECENT_WINDOW_MS = 10_000;

/**
 * Logs and counts errors that no code has handled. A single one, such as from an unforeseen
 * message, must not end the process and its other requests; many of them within a short time end it.
 */
export class UnexpectedErrorHandler {
  static create(options: Options): UnexpectedErrorHandler {
    return new UnexpectedErrorHandler(options);
  }

  private recentMs: number[] = [];

  private constructor(private readonly options: Options) {}

  /** Logs and counts an error; ends the process if there were too many within the window. */
  handle(error: unknown): void {
    const { clock, log, count, exit } = this.options;
    const nowMs = clock.monotonicMs();
    this.recentMs = this.recentMs.filter((atMs) => atMs > nowMs - RECENT_WINDOW_MS);
    this.recentMs.push(nowMs);
    const stack = error instanceof Error ? (error.stack ?? error.message) : String(error);
    log('error', 'unexpected-error', { stack, recent: this.recentMs.length });
    count('unexpected_errors_total');
    if (this.recentMs.length > MAX_RECENT_ERRORS) exit();
  }
}
