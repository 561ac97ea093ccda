/** Largest part of the score that the speed of a worker makes up, beside the shares of free capacity of up to 2. */
const SPEED_WEIGHT = 0.3;

/**
 * Returns the part of a worker's score that accounts for its speed; lower is better. Load pattern: workers of
 * different speed. The preference of the step is 1 for fast workers and -1 for slow ones, among workers that fit
 * about equally well. An unknown speed counts as the usual one.
 */
export function scoreSpeed(preference: number, speed: number | undefined): number {
  if (speed === undefined || preference === 0) return 0;
  const boundedLog = Math.max(-1, Math.min(1, Math.log2(speed)));
  return -preference * SPEED_WEIGHT * boundedLog;
}
