import type { Clock } from '@acaciahoist/clock';
import type { EventLog } from '@acaciahoist/types/event-log';

interface Options {
  clock: Clock;
  log: EventLog;
  count: (name: string) => void;
  /** Ends the process. */
  exit: () => void;
}

/** More unexpected errors than this within the window mean that the process does not work any more. */
const MAX_RECENT_ERRORS = 10;
const RECENT_WINDOW_MS = 10_000;

/**
 * Takes errors that no code expected. One of them, such as from a message that nobody thought of, must
 * not end the process and with it the work of all others; many of them in a short time must.
 */
export class FaultGuard {
  static create(options: Options): FaultGuard {
    return new FaultGuard(options);
  }

  private recentMs: number[] = [];

  private constructor(private readonly options: Options) {}

  caught(error: unknown): void {
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
