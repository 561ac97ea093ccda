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
/**
 * Largest growth of the sum of all shares in one raise. A tail that grows with it stays under its target, as it is at
 * most `RAISE_BELOW_RATIO` of it before.
 */
const MAX_GROWTH = 0.5;
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
 * raised step by step while all tails are low: one task at a time at first, because a rise of many
 * tasks at the same moment brings the tail far over its target.
 * Returns the tasks that need a pace call.
 */
export function paceBestEffortTasks(
  servingTasks: readonly ServingTask[],
  bestEffortTasks: readonly BestEffortTask[],
): { task: string; percent: number }[] {
  const tailRatio = Math.max(0, ...servingTasks.map(({ tailMs, targetMs }) => tailMs / targetMs));
  const raisedTasks =
    servingTasks.length > 0 && tailRatio <= RAISE_BELOW_RATIO
      ? listTasksToRaise(bestEffortTasks)
      : [];
  return bestEffortTasks.flatMap((entry) => {
    const { task, percent, sincePacedMs } = entry;
    let nextPercent = 100;
    if (raisedTasks.includes(entry)) nextPercent = Math.min(100, (percent ?? 0) + RAISE_PERCENT);
    else if (servingTasks.length > 0)
      nextPercent = computePercent(tailRatio, percent, sincePacedMs);
    // An earlier pace call may have taken effect late, after the newest one.
    const isRepeated = tailRatio > 1 && sincePacedMs >= REPEAT_INTERVAL_MS;
    return nextPercent === percent && !isRepeated ? [] : [{ task, percent: nextPercent }];
  });
}

/**
 * Lists the tasks whose share is raised next, those with the smallest share first: one, or as many as raise the sum of
 * all shares by half. Returns none while the tail may not show the last change of any share yet.
 */
function listTasksToRaise(tasks: readonly BestEffortTask[]): BestEffortTask[] {
  const isSettled = tasks.every(
    ({ percent, sincePacedMs }) => percent === undefined || sincePacedMs >= CHANGE_INTERVAL_MS,
  );
  if (!isSettled) return [];
  const sumPercent = tasks.reduce((sum, { percent }) => sum + (percent ?? 0), 0);
  const maxTasks = Math.max(1, Math.floor((sumPercent * MAX_GROWTH) / RAISE_PERCENT));
  return tasks
    .filter(({ percent }) => percent !== 100)
    .sort(
      (left, right) =>
        (left.percent ?? 0) - (right.percent ?? 0) || right.sincePacedMs - left.sincePacedMs,
    )
    .slice(0, maxTasks);
}

/** Returns the share of a task that is not raised. */
function computePercent(
  tailRatio: number,
  percent: number | undefined,
  sincePacedMs: number,
): number {
  // The share that a predecessor set is not known. Many tasks of unknown share start from 0, one after the other.
  if (tailRatio > 1 || percent === undefined) return 0;
  if (tailRatio > HALVE_ABOVE_RATIO && sincePacedMs >= CHANGE_INTERVAL_MS)
    return halvePercent(percent);
  return percent;
}

/** Halves the share; a share of one raise or less becomes 0. */
function halvePercent(percent: number): number {
  return percent <= RAISE_PERCENT ? 0 : Math.floor(percent / 2);
}
