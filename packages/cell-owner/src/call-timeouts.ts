/**
 * Timeout in ms of a start call when there is no event-loop delay. A call usually takes 3 ms; the 99th
 * percentile is 18 ms.
 */
const START_TIMEOUT_MS = 150;
/** Timeout in ms of any other call when there is no event-loop delay. */
const CALL_TIMEOUT_MS = 300;
/**
 * A busy process reads replies late, by several times its event-loop delay. Timeouts therefore grow by this
 * multiple of the delay.
 */
const LOOP_DELAY_FACTOR = 8;
const MAX_TIMEOUT_MS = 800;

/**
 * Computes the timeouts of calls to workers. Load pattern: workers that leave some of the calls
 * unanswered. A short timeout lets the owner determine sooner what became of an order, but a busy process
 * must not mistake its own delay for that of a worker.
 */
export const callTimeouts = {
  /** Returns the timeout of a start call. */
  startMs(loopDelayMs: number): number {
    return Math.min(MAX_TIMEOUT_MS, START_TIMEOUT_MS + LOOP_DELAY_FACTOR * loopDelayMs);
  },

  /**
   * Returns the timeout of a stop call or a pace call. For a hold call it is the time allowed beyond the wait
   * that the call requests.
   */
  otherMs(loopDelayMs: number): number {
    return Math.min(MAX_TIMEOUT_MS, CALL_TIMEOUT_MS + LOOP_DELAY_FACTOR * loopDelayMs);
  },
} as const;
