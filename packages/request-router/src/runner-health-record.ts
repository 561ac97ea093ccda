import { Lifecycle } from './lifecycle.js';
import { runnerLifecycle } from './runner-lifecycle.js';

/** Consecutive failures that eject a runner. */
const MAX_FAILURES_IN_A_ROW = 5;
/** Failure rate above which a runner that fails only some requests is ejected. */
const MAX_FAILURE_RATE = 0.5;
/** Results needed before the failure rate can eject a runner. */
const MIN_RESULTS_FOR_FAILURE_RATE = 20;
/** Weight of the newest result in the moving average of the failure rate. */
const NEWEST_RESULT_WEIGHT = 0.1;
const FIRST_BACKOFF_MS = 1_000;
const MAX_BACKOFF_MS = 60_000;
/**
 * Largest random addition to a back-off, as a share of it. It spreads the probes of runners that were
 * ejected together, and the probes of one runner by several processes.
 */
const MAX_JITTER_SHARE = 0.5;

/** Failure statistics, ejection and probe of one runner that has failed, as one process sees them. */
export class RunnerHealthRecord {
  static create(random: () => number): RunnerHealthRecord {
    return new RunnerHealthRecord(random);
  }

  ejectedAtMs = 0;
  private readonly lifecycle = Lifecycle.create(runnerLifecycle);
  private failuresInARow = 0;
  private failureRate = 0;
  private resultCount = 0;
  private ejections = 0;
  private backoffEndsAtMs = 0;
  private restoredAtMs = 0;
  private isProbeReserved = false;

  private constructor(private readonly random: () => number) {}

  state(): 'healthy' | 'ejected' | 'probing' {
    return this.lifecycle.state();
  }

  /** True when new requests must avoid the runner. Starts the probing state once the back-off is over. */
  isAvoided(nowMs: number): boolean {
    if (this.state() === 'ejected' && nowMs >= this.backoffEndsAtMs)
      this.lifecycle.move('BACKOFF_OVER');
    return this.state() === 'ejected' || (this.state() === 'probing' && this.isProbeReserved);
  }

  /** Reserves the runner for one probe request; false when it is not probing or already reserved. */
  reserveProbe(): boolean {
    if (this.state() !== 'probing' || this.isProbeReserved) return false;
    this.isProbeReserved = true;
    return true;
  }

  /** Allows another request to probe the runner. */
  releaseProbe(): void {
    this.isProbeReserved = false;
  }

  /** Counts the result of a request. In state `ejected` it is from an earlier request and is ignored. */
  recordResult(isSuccess: boolean, nowMs: number): void {
    if (this.state() === 'ejected') return;
    this.resultCount += 1;
    this.failureRate += NEWEST_RESULT_WEIGHT * ((isSuccess ? 0 : 1) - this.failureRate);
    this.failuresInARow = isSuccess ? 0 : this.failuresInARow + 1;
    if (this.state() === 'probing') {
      if (isSuccess) this.restore(nowMs);
      else this.eject(nowMs);
      return;
    }
    const isOutlier =
      this.failuresInARow >= MAX_FAILURES_IN_A_ROW ||
      (this.resultCount >= MIN_RESULTS_FOR_FAILURE_RATE && this.failureRate > MAX_FAILURE_RATE);
    if (isOutlier) this.eject(nowMs);
  }

  /** True when the runner is healthy and neither its failure rate nor its last back-off matters any more. */
  canBeDropped(nowMs: number): boolean {
    const keepsBackoff = this.ejections > 0 && nowMs - this.restoredAtMs < MAX_BACKOFF_MS;
    return this.state() === 'healthy' && !keepsBackoff && this.failureRate < 0.01;
  }

  private eject(nowMs: number): void {
    // After a healthy period as long as the longest back-off, the back-off starts again at the shortest.
    const resetsBackoff = this.state() === 'healthy' && nowMs - this.restoredAtMs >= MAX_BACKOFF_MS;
    this.ejections = resetsBackoff ? 1 : this.ejections + 1;
    const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (this.ejections - 1));
    this.lifecycle.move('EJECT');
    this.ejectedAtMs = nowMs;
    this.backoffEndsAtMs = nowMs + backoffMs * (1 + MAX_JITTER_SHARE * this.random());
    this.isProbeReserved = false;
  }

  private restore(nowMs: number): void {
    this.lifecycle.move('RETURN');
    this.restoredAtMs = nowMs;
    this.failureRate = 0;
    this.resultCount = 0;
    this.isProbeReserved = false;
  }
}
