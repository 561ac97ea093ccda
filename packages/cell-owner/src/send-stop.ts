import type { Clock } from '@acaciahoist/clock';
import { StopReply } from '@acaciahoist/cell-types/stop-reply';
import { callTimeouts } from './call-timeouts.js';
import { limits } from './limits.js';
import type { TrackedRun } from './tracked-run.js';
import type { WorkerSession } from './worker-session.js';

interface Options {
  clock: Clock;
  token: number;
  lastAppendAgeMs: () => number;
  loopDelayMs: () => number;
  onFenced: () => void;
}

/**
 * Sends a stop order for a run unless one was sent shortly before. Callers repeat it with each hold
 * reply while the run is to be stopped.
 */
export function sendStop(options: Options, session: WorkerSession, trackedRun: TrackedRun): void {
  const { clock, token, lastAppendAgeMs, loopDelayMs, onFenced } = options;
  // An owner that was paused may have been replaced, and its successor may let the run continue.
  if (lastAppendAgeMs() > limits.maxAppendAgeForStopMs) return;
  const nowMs = clock.monotonicMs();
  if (nowMs - trackedRun.stopSentAtMs < limits.stopRepeatIntervalMs) return;
  trackedRun.stopSentAtMs = nowMs;
  const timeoutMs = callTimeouts.otherMs(loopDelayMs());
  void session.client.stop(trackedRun.task, trackedRun.run, token, timeoutMs).then((reply) => {
    if (reply === StopReply.confirmed) {
      trackedRun.stopConfirmedAtMs = clock.monotonicMs();
      if (trackedRun.phase === 'unknown') void session.poll();
    }
    if (reply === StopReply.fenced) onFenced();
  });
}
