import { Lifecycle } from './lifecycle.js';
import { runnerLifecycle } from './runner-lifecycle.js';

/** Failures in a row that eject a runner. */
const MAX_FAILURES_IN_A_ROW = 5;
/** Share of failures that ejects a runner which fails only some requests. */
const MAX_FAILURE_RATE = 0.5;
const MIN_RESULTS_FOR_FAILURE_RATE = 20;
const NEWEST_RESULT_WEIGHT = 0.1;
const FIRST_BACKOFF_MS = 1_000;
const MAX_BACKOFF_MS = 60_000;
/** Spreads the returns of runners that were ejected together, and of the processes that probe them. */
const MAX_JITTER_SHARE = 0.5;

/** What one process knows about a runner that has failed. */
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

  /** True when new requests should avoid the runner. */
  isAvoided(nowMs: number): boolean {
    if (this.state() === 'ejected' && nowMs >= this.backoffEndsAtMs)
      this.lifecycle.move('BACKOFF_OVER');
    return this.state() === 'ejected' || (this.state() === 'probing' && this.isProbeReserved);
  }

  /** Reserves the one probe; true when the runner is probing and no probe was under way. */
  reserveProbe(): boolean {
    if (this.state() !== 'probing' || this.isProbeReserved) return false;
    this.isProbeReserved = true;
    return true;
  }

  releaseProbe(): void {
    this.isProbeReserved = false;
  }

  /** Counts the result of a request. In state `ejected` results are late and change nothing. */
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

  /** True when nothing worth keeping is recorded. */
  canBeDropped(nowMs: number): boolean {
    const keepsBackoff = this.ejections > 0 && nowMs - this.restoredAtMs < MAX_BACKOFF_MS;
    return this.state() === 'healthy' && !keepsBackoff && this.failureRate < 0.01;
  }

  private eject(nowMs: number): void {
    // A runner that stayed healthy for the longest back-off starts again with the shortest.
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
