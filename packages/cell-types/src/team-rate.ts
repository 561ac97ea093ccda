/** Time in ms for whose jobs a bucket holds tokens. */
const BURST_MS = 2_000;
/** When the time of a job is this much before that of the last one, the clock that gave the last one was wrong. */
const MAX_CLOCK_DIFFERENCE_MS = 5_000;

/** Token bucket of one team: the jobs beyond the rate and a burst of two seconds are excess jobs. */
export class TeamRate {
  static create(): TeamRate {
    return new TeamRate();
  }

  private tokens = Number.POSITIVE_INFINITY;
  private lastMs: number | undefined;

  /**
   * Takes a token for a job that arrived at `atMs`; returns false when there is none, for an excess job. The rate may
   * differ from call to call, and the times may go back a little, since they come from several clocks.
   */
  take(atMs: number, jobsPerSecond: number): boolean {
    const lastMs = this.lastMs ?? atMs;
    this.tokens = this.computeTokens(atMs, jobsPerSecond);
    this.lastMs = atMs < lastMs - MAX_CLOCK_DIFFERENCE_MS ? atMs : Math.max(atMs, lastMs);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Returns what `take` would return, and takes nothing. */
  mayTake(atMs: number, jobsPerSecond: number): boolean {
    return this.computeTokens(atMs, jobsPerSecond) >= 1;
  }

  private computeTokens(atMs: number, jobsPerSecond: number): number {
    // A bucket of less than one token would permit no job at all.
    const burst = Math.max(1, (jobsPerSecond * BURST_MS) / 1_000);
    const elapsedMs = Math.max(0, atMs - (this.lastMs ?? atMs));
    return Math.min(burst, this.tokens + (elapsedMs * jobsPerSecond) / 1_000);
  }
}
