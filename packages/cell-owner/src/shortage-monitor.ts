import type { Clock } from '@acaciahoist/clock';

/** Room is short when it was lacking for `MIN_LACKING_MS` of the last `WINDOW_MS`. */
const WINDOW_MS = 1_000;
const MIN_LACKING_MS = 500;

/** Finds from the results of the planning rounds whether room is short. A result holds until the next one. */
export class ShortageMonitor {
  static create(clock: Clock): ShortageMonitor {
    return new ShortageMonitor(clock);
  }

  /** Times at which the result changed, the oldest first; room lacks after each second one. */
  private changes: { atMs: number; lacksRoom: boolean }[] = [];

  private lastRoundAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly clock: Clock) {}

  /** Records whether a step that has value lacked room in a round. */
  recordRound(lacksRoom: boolean): void {
    const nowMs = this.clock.monotonicMs();
    this.lastRoundAtMs = nowMs;
    if (this.changes.at(-1)?.lacksRoom !== lacksRoom) this.changes.push({ atMs: nowMs, lacksRoom });
    // The last change before the window gives the result at its start.
    while ((this.changes[1]?.atMs ?? nowMs) < nowMs - WINDOW_MS) this.changes.shift();
  }

  /** Monotonic time of the last round. */
  recordedAtMs(): number {
    return this.lastRoundAtMs;
  }

  isShort(): boolean {
    const nowMs = this.clock.monotonicMs();
    const startMs = nowMs - WINDOW_MS;
    let lackingMs = 0;
    for (const [index, { atMs, lacksRoom }] of this.changes.entries())
      if (lacksRoom)
        lackingMs +=
          Math.max(startMs, this.changes[index + 1]?.atMs ?? nowMs) - Math.max(startMs, atMs);
    return lackingMs >= MIN_LACKING_MS;
  }
}
