import type { Clock } from '@acaciahoist/clock';

/** Initial, minimum and maximum number of starts that may be outstanding at once. */
const INITIAL_WINDOW_STARTS = 16;
const MIN_WINDOW_STARTS = 4;
const MAX_WINDOW_STARTS = 512;
/** A call that takes more ms than this shows that too many are outstanding; 3 to 18 ms are usual. */
const SLOW_REPLY_MS = 150;
/** Factor by which a slow reply reduces the bound. */
const SHRINK_FACTOR = 0.7;
/** Minimum time in ms between two reductions, so that the slow replies of one burst count once. */
const SHRINK_INTERVAL_MS = 200;

/**
 * Congestion window for starts: bounds the number of starts that are decided and not yet answered. The bound
 * grows by one with each quick reply and shrinks after slow ones. Load pattern: the machine or the network of
 * the owner is too slow for a burst of starts. If the owner decided more starts than it can send in time, most
 * would get no reply, and determining what became of them would cost more than the starts themselves.
 */
export class StartWindow {
  /** `isBusy` returns whether the event-loop delay of this process is high. */
  static create(clock: Clock, isBusy: () => boolean): StartWindow {
    return new StartWindow(clock, isBusy);
  }

  private size = INITIAL_WINDOW_STARTS;
  private outstanding = 0;
  private lastShrunkAtMs = Number.NEGATIVE_INFINITY;

  private constructor(
    private readonly clock: Clock,
    private readonly isBusy: () => boolean,
  ) {}

  /** Returns how many more starts may be decided while `decidedStarts` are being appended to the log. */
  countAllowed(decidedStarts: number): number {
    return Math.max(0, Math.floor(this.size) - this.outstanding - decidedStarts);
  }

  /** Counts a start as outstanding. */
  recordSent(): void {
    this.outstanding += 1;
  }

  /** Removes an outstanding start that was answered, or timed out, after `tookMs`, and adjusts the bound. */
  recordOutcome(tookMs: number, isAnswered: boolean): void {
    this.outstanding -= 1;
    // While this process is not busy, a missing reply is due to the worker and not to the burst.
    if (!isAnswered && !this.isBusy()) return;
    if (tookMs <= SLOW_REPLY_MS) {
      this.size = Math.min(MAX_WINDOW_STARTS, this.size + 1);
      return;
    }
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.lastShrunkAtMs < SHRINK_INTERVAL_MS) return;
    this.lastShrunkAtMs = nowMs;
    this.size = Math.max(MIN_WINDOW_STARTS, this.size * SHRINK_FACTOR);
  }

  /** Returns the window and the number of outstanding starts, for operators. */
  describe(): { size: number; open: number } {
    return { size: Math.floor(this.size), open: this.outstanding };
  }
}
