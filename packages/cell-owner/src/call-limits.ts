/** Limits in ms of calls to workers. A call takes 3 ms, and 18 ms at the 99th percentile. */
const START_MS = 150;
const CALL_MS = 300;
/** A busy process sees answers later, by several times the delay with which it gets to its work. */
const DELAY_FACTOR = 8;
const MAX_MS = 800;

/**
 * Time limits of calls to workers. Load pattern: workers that leave a part of their orders unanswered.
 * What became of an order is found out the sooner, the sooner it counts as unanswered; a busy process
 * must not take its own delay for a silent worker.
 */
export const callLimits = {
  startMs(loopDelayMs: number): number {
    return Math.min(MAX_MS, START_MS + DELAY_FACTOR * loopDelayMs);
  },

  /** For stops, pacing, and hold calls beyond their wait. */
  otherMs(loopDelayMs: number): number {
    return Math.min(MAX_MS, CALL_MS + DELAY_FACTOR * loopDelayMs);
  },
} as const;
