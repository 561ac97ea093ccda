import type { Clock } from '@acaciahoist/clock';

/** Starts that may be on their way at once, at first, at least and at most. */
const FIRST_WINDOW = 16;
const MIN_WINDOW = 4;
const MAX_WINDOW = 512;
/** An answer that takes longer than this in ms shows that too many calls are open; usual are 3 to 18. */
const SLOW_ANSWER_MS = 150;
const SHRINK_FACTOR = 0.7;
/** Least time in ms between two reductions: the answers of one burst count once. */
const SHRINK_INTERVAL_MS = 200;

/**
 * Load pattern: an owner on a machine or a link that is too small for a burst. If it decided more starts
 * than it can send in time, most of them would go unanswered, and finding out what became of them costs
 * more than the starts. Bounds the starts that are decided and not answered: one more with each quick
 * answer, fewer after slow ones.
 */
export class StartWindow {
  /** `isBusy`: whether this process gets to its work late. */
  static create(clock: Clock, isBusy: () => boolean): StartWindow {
    return new StartWindow(clock, isBusy);
  }

  private size = FIRST_WINDOW;
  private open = 0;
  private shrunkMs = Number.NEGATIVE_INFINITY;

  private constructor(
    private readonly clock: Clock,
    private readonly isBusy: () => boolean,
  ) {}

  /** Starts that may be decided when `decided` are on their way into the log. */
  roomFor(decided: number): number {
    return Math.max(0, Math.floor(this.size) - this.open - decided);
  }

  sent(): void {
    this.open += 1;
  }

  /** A start that was sent was answered, or given up, after `tookMs`. */
  settled(tookMs: number, isAnswered: boolean): void {
    this.open -= 1;
    // Without load here, a worker that does not answer is at fault itself.
    if (!isAnswered && !this.isBusy()) return;
    if (tookMs <= SLOW_ANSWER_MS) {
      this.size = Math.min(MAX_WINDOW, this.size + 1);
      return;
    }
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.shrunkMs < SHRINK_INTERVAL_MS) return;
    this.shrunkMs = nowMs;
    this.size = Math.max(MIN_WINDOW, this.size * SHRINK_FACTOR);
  }

  describe(): { size: number; open: number } {
    return { size: Math.floor(this.size), open: this.open };
  }
}
