import type { Clock } from './index.js';

/**
 * Time since it was created, for permissions that run out. The steady clock does not count the time for
 * which a machine is suspended, and the time of day may jump: the greater of the two counts, so that a
 * permission may end early, and never late because of a suspension.
 */
export class ElapsedTime {
  static create(clock: Clock): ElapsedTime {
    return new ElapsedTime(clock);
  }

  readonly startedMs: number;
  private readonly startedWallMs: number;

  private constructor(private readonly clock: Clock) {
    this.startedMs = clock.monotonicMs();
    this.startedWallMs = clock.wallMs();
  }

  ms(): number {
    const { clock } = this;
    return Math.max(clock.monotonicMs() - this.startedMs, clock.wallMs() - this.startedWallMs);
  }
}
