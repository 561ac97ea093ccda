/** Number of steps of one percent that a run may take without progress before it counts as stalled. */
const MAX_MISSED_PERCENTS = 3;
/** Limits the doubling for tasks that stall again and again to about three days. */
const MAX_DOUBLINGS = 16;

interface Options {
  /** Minimum stall limit in ms. */
  minMs: number;
  estimateMs: number;
  /** Progress in percent, and the time in ms that it has taken. */
  percent: number;
  workedMs: number;
  /** Number of earlier runs of the task that were stopped as stalled. */
  earlierStalls: number;
}

/**
 * Computes the time in ms without progress after which a run counts as stalled. Workers report progress in whole
 * percents, which take minutes in a task of hours. The expected time of one percent follows from the estimate and
 * from the progress so far. Either may be far too short, so that the limit doubles each time that the task stalls:
 * the cause is then the task and not its workers.
 */
export function computeStallLimit(options: Options): number {
  const { minMs, estimateMs, percent, workedMs, earlierStalls } = options;
  const percentMs = Math.max(estimateMs / 100, percent > 0 ? workedMs / percent : 0);
  const limitMs = Math.max(minMs, MAX_MISSED_PERCENTS * percentMs);
  return limitMs * 2 ** Math.min(earlierStalls, MAX_DOUBLINGS);
}
