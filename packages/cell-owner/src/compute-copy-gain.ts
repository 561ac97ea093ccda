import type { SlowRun } from './slow-run.js';

/** A run must need this multiple of the time of its copy, since both times are estimates. */
const MIN_REMAINING_FACTOR = 2;
/** Minimum time in ms by which the copy must end earlier: a start and the stop of the other run cost up to this. */
const MIN_GAIN_MS = 1_000;
/** Multiple of the usual duration from which a run on a slow worker counts as slow. */
const MIN_SLOW_FACTOR = 1.5;
/**
 * Multiple of the usual duration at the speed of its worker from which a run counts as a straggler: run times differ
 * by up to 1.9 times their estimates.
 */
const MIN_TAIL_FACTOR = 2;
/** A worker is slow if its speed is at most this share of that of the other worker. */
const MAX_SPEED_SHARE = 0.75;
/** Share of its usual duration that a run must have lasted, since early progress has a large error. */
const MIN_ELAPSED_SHARE = 0.5;

/**
 * Returns the time in ms by which a copy on a worker of this speed is expected to end before the run; undefined when
 * no copy is to start. A run that is slow because of its task gains nothing from a copy, so that either its worker must
 * be slow or its image must have tails.
 */
export function computeCopyGain(run: SlowRun, targetSpeed: number | undefined): number | undefined {
  const { elapsedMs, remainingMs, typicalMs, speed, hasTails, valueEndsInMs } = run;
  const copyMs = typicalMs / (targetSpeed ?? 1);
  const gainMs = remainingMs - copyMs;
  if (elapsedMs < MIN_ELAPSED_SHARE * typicalMs) return undefined;
  if (remainingMs < MIN_REMAINING_FACTOR * copyMs || gainMs < MIN_GAIN_MS) return undefined;
  if (copyMs > valueEndsInMs) return undefined;
  const slowFactor = (elapsedMs + remainingMs) / typicalMs;
  const isTail = hasTails && slowFactor * (speed ?? 1) >= MIN_TAIL_FACTOR;
  const isOnSlowWorker =
    slowFactor >= MIN_SLOW_FACTOR &&
    speed !== undefined &&
    targetSpeed !== undefined &&
    speed <= MAX_SPEED_SHARE * targetSpeed;
  return isTail || isOnSlowWorker ? gainMs : undefined;
}
