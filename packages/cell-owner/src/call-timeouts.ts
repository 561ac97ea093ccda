/**
 * Timeout in ms of start calls without event-loop delay. A call usually takes 3 ms, and 18 ms at the 99th
 * percentile.
 */
const START_TIMEOUT_MS = 150;
/** Timeout in ms of other calls without event-loop delay. */
const CALL_TIMEOUT_MS = 300;
/**
 * A busy process reads answers late, by several times its event-loop delay: timeouts grow by this
 * multiple of it.
 */
const LOOP_DELAY_FACTOR = 8;
const MAX_TIMEOUT_MS = 800;

/**
 * Computes the timeouts of calls to workers. Load pattern: workers that leave a part of the calls
 * unanswered. A short timeout lets the owner determine sooner what became of an order, but a busy process
 * must not take its own delay for that of a worker.
 */
export const callTimeouts = {
  /** Returns the timeout of a start call. */
  startMs(loopDelayMs: number): number {
    return Math.min(MAX_TIMEOUT_MS, START_TIMEOUT_MS + LOOP_DELAY_FACTOR * loopDelayMs);
  },

  /** Returns the timeout of a stop call or a pace call, and of a hold call beyond its wait. */
  otherMs(loopDelayMs: number): number {
    return Math.min(MAX_TIMEOUT_MS, CALL_TIMEOUT_MS + LOOP_DELAY_FACTOR * loopDelayMs);
  },
} as const;
