/** A serving task on a worker. */
interface ServingTask {
  /** Tail latency in ms over the last half second; 0 when it is not known yet. */
  tailMs: number;
  targetMs: number;
}

/** A best-effort task on the same worker. */
interface BestEffortTask {
  /** Share of its work in percent that the last pace call allowed; undefined when unknown. */
  percent: number | undefined;
  /** Time in ms since the start was recorded. */
  sinceStartMs: number;
}

/** Highest ratio of a tail to its target up to which two tasks are started at a time. */
const LOW_TAIL_RATIO = 0.4;
/** Ratio of a tail to its target from which none is started; shares are halved from there on. */
const HIGH_TAIL_RATIO = 0.85;
/** Maximum number of tasks that are started at a time beside a serving task with a low tail. */
const MAX_STARTS = 2;
/**
 * Time in ms after the start of a task before the next one. A start begins at its full share, the tail covers half
 * a second, the reply with it takes up to a second, and a pace call 100 ms.
 */
const SETTLE_MS = 2_000;

/**
 * Returns how many best-effort tasks may be started on a worker now. Load pattern: best-effort tasks arrive faster
 * than their effect on the serving tasks there becomes visible. Beside a serving task the next one starts only
 * when the tail shows the effect of those before it and none of them is paced. Without a serving task there is no limit.
 */
export function limitBestEffortStarts(
  servingTasks: readonly ServingTask[],
  bestEffortTasks: readonly BestEffortTask[],
): number {
  if (servingTasks.length === 0) return Number.POSITIVE_INFINITY;
  const tailRatio = Math.max(...servingTasks.map(({ tailMs, targetMs }) => tailMs / targetMs));
  const isUnsettled = bestEffortTasks.some(
    ({ percent, sinceStartMs }) => percent !== 100 || sinceStartMs < SETTLE_MS,
  );
  if (isUnsettled || tailRatio >= HIGH_TAIL_RATIO) return 0;
  return tailRatio > 0 && tailRatio <= LOW_TAIL_RATIO ? MAX_STARTS : 1;
}
