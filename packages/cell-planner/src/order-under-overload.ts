import { hasValue } from './has-value.js';
import type { ReadyStep } from './ready-step.js';
import { ShareClass } from './share-class.js';
import type { TeamShares } from './team-shares.js';

/** Time in ms after which an excess job is ordered as any other, so that no job of a team waits for ever. */
const MAX_EXCESS_MS = 30_000;

/** Bands of steps, the most urgent first. Prompt steps are those of priority 0. */
const Band = {
  prompt: 0,
  onTime: 1,
  latePrompt: 2,
  late: 3,
  /** Excess steps that have waited for `MAX_EXCESS_MS` and have no value any more. */
  agedExcess: 4,
  excess: 5,
  noValue: 6,
} as const;

/** Position of a step in the order. */
interface Rank {
  step: ReadyStep;
  band: number;
  priority: number;
  shareClass: ShareClass;
  latestStartAtMs: number;
}

/**
 * Sorts the steps by urgency. Load pattern: demand exceeds the capacity for several seconds.
 * Sorting by due time alone would spend the capacity on jobs that are about to miss their objective
 * and then miss it anyway. Steps that can still meet their objective come first, prompt steps
 * before the others; then late steps that still have some value; then the excess steps of teams whose jobs arrive
 * too fast; then the rest by age. Within a band the more urgent priority comes first, then the teams below their
 * share, then the earlier latest start. Within one priority, steps of teams above their share also follow the late
 * steps of teams below it.
 */
export function orderUnderOverload(
  steps: readonly ReadyStep[],
  nowMs: number,
  shares?: TeamShares,
): ReadyStep[] {
  const ranks = steps.map((step): Rank => {
    const band = chooseBand(step, nowMs);
    return {
      step,
      band,
      priority: step.queue.priority,
      shareClass: shares?.classOf(step) ?? ShareClass.below,
      latestStartAtMs:
        band === Band.noValue || band === Band.agedExcess
          ? step.dueMs
          : step.objectiveAtMs - step.remainingMs,
    };
  });
  if (shares !== undefined) moveBehindLowerClasses(ranks);
  ranks.sort(
    (left, right) =>
      left.band - right.band ||
      left.priority - right.priority ||
      left.shareClass - right.shareClass ||
      left.latestStartAtMs - right.latestStartAtMs ||
      (left.step.key < right.step.key ? -1 : 1),
  );
  return ranks.map(({ step }) => step);
}

/** Moves steps that have value into the last band in which a step of their priority and a lower class is. */
function moveBehindLowerClasses(ranks: readonly Rank[]): void {
  const lastBands = new Map<number, number[]>();
  for (const { priority, band, shareClass } of ranks) {
    if (band > Band.late) continue;
    let byClass = lastBands.get(priority);
    if (byClass === undefined) lastBands.set(priority, (byClass = [0, 0, 0]));
    byClass[shareClass] = Math.max(byClass[shareClass] ?? 0, band);
  }
  for (const byClass of lastBands.values())
    for (let shareClass = 1; shareClass < byClass.length; shareClass += 1)
      byClass[shareClass] = Math.max(byClass[shareClass] ?? 0, byClass[shareClass - 1] ?? 0);
  for (const rank of ranks) {
    if (rank.band > Band.late || rank.shareClass === ShareClass.below) continue;
    rank.band = Math.max(rank.band, lastBands.get(rank.priority)?.[rank.shareClass - 1] ?? 0);
  }
}

function chooseBand(step: ReadyStep, nowMs: number): number {
  const isAged = step.isExcess && nowMs - step.dueMs >= MAX_EXCESS_MS;
  const band = chooseBandByValue(step, nowMs);
  if (band === Band.noValue) return isAged ? Band.agedExcess : band;
  return step.isExcess && !isAged ? Band.excess : band;
}

function chooseBandByValue(step: ReadyStep, nowMs: number): number {
  const isPrompt = step.queue.priority === 0;
  if (nowMs + step.remainingMs <= step.objectiveAtMs) return isPrompt ? Band.prompt : Band.onTime;
  if (hasValue(step, nowMs)) return isPrompt ? Band.latePrompt : Band.late;
  return Band.noValue;
}
