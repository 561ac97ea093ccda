/** A serving task on a worker. */
interface ServingTask {
  /** Tail latency in ms over the last half second. */
  tailMs: number;
  targetMs: number;
}

/** A best-effort task on the same worker. */
interface BestEffortTask {
  task: string;
  /** Share of its work in percent that the last pace call allowed; undefined when unknown. */
  percent: number | undefined;
  /** Time in ms since that call. */
  sincePacedMs: number;
}

/**
 * Ratio of a tail to its target above which shares are halved. It is below 1 because the reported
 * tail is approximate and half a second old.
 */
const HALVE_ABOVE_RATIO = 0.85;
/** Highest ratio of a tail to its target up to which shares are raised. */
const RAISE_BELOW_RATIO = 0.6;
/** Amount of one raise in percent. */
const RAISE_PERCENT = 20;
/** Time in ms after which a pace call is repeated while a tail is still over its target. */
const REPEAT_INTERVAL_MS = 1_000;
/** Time in ms before a share is halved or raised again, so that the tail shows the last change. */
const CHANGE_INTERVAL_MS = 1_500;

/**
 * Decides the shares of the best-effort tasks of a worker. Load pattern: best-effort tasks slow
 * down serving tasks on the same worker, by an amount that is not known and changes within seconds.
 * Shares are halved when a tail comes near its target, set to 0 when it exceeds the target, and
 * raised step by step while all tails are low. Returns the tasks that need a pace call.
 */
export function paceBestEffortTasks(
  servingTasks: readonly ServingTask[],
  bestEffortTasks: readonly BestEffortTask[],
): { task: string; percent: number }[] {
  const tailRatio = Math.max(0, ...servingTasks.map(({ tailMs, targetMs }) => tailMs / targetMs));
  return bestEffortTasks.flatMap(({ task, percent, sincePacedMs }) => {
    const nextPercent = computePercent(tailRatio, percent, sincePacedMs);
    // An earlier pace call may have taken effect late, after the newest one.
    const isRepeated = tailRatio > 1 && sincePacedMs >= REPEAT_INTERVAL_MS;
    return nextPercent === percent && !isRepeated ? [] : [{ task, percent: nextPercent }];
  });
}

function computePercent(
  tailRatio: number,
  percent: number | undefined,
  sincePacedMs: number,
): number {
  if (tailRatio > 1) return 0;
  // The share that a predecessor set is not known. Beside serving tasks, the share starts low.
  if (percent === undefined) return tailRatio > 0 ? RAISE_PERCENT : 100;
  if (tailRatio > HALVE_ABOVE_RATIO)
    return sincePacedMs < CHANGE_INTERVAL_MS ? percent : halvePercent(percent);
  if (tailRatio === 0) return 100;
  if (tailRatio > RAISE_BELOW_RATIO || sincePacedMs < CHANGE_INTERVAL_MS) return percent;
  return Math.min(100, percent + RAISE_PERCENT);
}

/** Halves the share; a share of one raise or less becomes 0. */
function halvePercent(percent: number): number {
  return percent <= RAISE_PERCENT ? 0 : Math.floor(percent / 2);
}
