/** A task on a worker that serves its own users. */
interface ServingTask {
  /** Tail of its response times in ms over the last half second. */
  tailMs: number;
  targetMs: number;
}

/** A task on the same worker that uses spare processor time. */
interface BestEffortTask {
  task: string;
  /** Share of its work in percent that it was last told to do; undefined when that is not known. */
  percent: number | undefined;
  /** Time in ms since it was told. */
  pacedForMs: number;
}

/** Above this share of the target the fillers give way: the figure is half a second old and rough. */
const LOWER_ABOVE_SHARE = 0.85;
/** Below this share of the target there is room for more. */
const RAISE_BELOW_SHARE = 0.6;
/** What a filler gets back at a time, in percent. */
const RAISE_PERCENT = 20;
/** Time in ms after which an order is given again while a tail is still over its target. */
const REPEAT_INTERVAL_MS = 1_000;
/** Least time in ms between two raises, so that the tail shows the last one. */
const RAISE_INTERVAL_MS = 1_500;

/**
 * Load pattern: tasks that fill beside tasks that serve, whose interference is not known and changes
 * within seconds. Fillers are halved when a tail comes near its target, stopped when it is over, and
 * raised step by step while all tails are low. Returns the fillers that get another share.
 */
export function paceFillers(
  servingTasks: readonly ServingTask[],
  bestEffortTasks: readonly BestEffortTask[],
): { task: string; percent: number }[] {
  const tailShare = Math.max(0, ...servingTasks.map(({ tailMs, targetMs }) => tailMs / targetMs));
  return bestEffortTasks.flatMap(({ task, percent, pacedForMs }) => {
    const nextPercent = computePercent(tailShare, percent, pacedForMs);
    // An earlier order may have been carried out late, after the newest one.
    const isRepeated = tailShare > 1 && pacedForMs >= REPEAT_INTERVAL_MS;
    return nextPercent === percent && !isRepeated ? [] : [{ task, percent: nextPercent }];
  });
}

function computePercent(
  tailShare: number,
  percent: number | undefined,
  pacedForMs: number,
): number {
  if (tailShare > 1) return 0;
  // A successor does not know what its predecessor ordered: it starts low where someone is served.
  if (percent === undefined) return tailShare > 0 ? RAISE_PERCENT : 100;
  if (tailShare > LOWER_ABOVE_SHARE)
    return pacedForMs < RAISE_INTERVAL_MS ? percent : halvePercent(percent);
  if (tailShare === 0) return 100;
  if (tailShare > RAISE_BELOW_SHARE || pacedForMs < RAISE_INTERVAL_MS) return percent;
  return Math.min(100, percent + RAISE_PERCENT);
}

/** A share below one raise is none. */
function halvePercent(percent: number): number {
  return percent <= RAISE_PERCENT ? 0 : Math.floor(percent / 2);
}
