import { Lifecycle } from './lifecycle.js';
import { runnerLifecycle } from './runner-lifecycle.js';

/** Number of consecutive failures after which a runner is ejected. */
const EJECTING_CONSECUTIVE_FAILURES = 5;
/** Failure rate above which a runner that fails only some requests is ejected. */
const EJECTING_FAILURE_RATE = 0.5;
/** Results needed before the failure rate can eject a runner. */
const MIN_RESULTS_FOR_FAILURE_RATE = 20;
/** Weight of the newest result in the exponential moving average of the failure rate. */
const NEWEST_RESULT_WEIGHT = 0.1;
/** Failure rate below which a record is dropped, to limit the memory for records. */
const NEGLIGIBLE_FAILURE_RATE = 0.01;
const FIRST_BACK_OFF_MS = 1_000;
const MAX_BACK_OFF_MS = 60_000;
/**
 * Largest random addition to a back-off, as a share of it. It spreads the probes of runners that were
 * ejected together, and the probes of one runner by several processes.
 */
const MAX_JITTER_SHARE = 0.5;

/** Failure statistics and ejection state of one runner that has failed, from the requests of one process. */
export class RunnerHealthRecord {
  static create(random: () => number): RunnerHealthRecord {
    return new RunnerHealthRecord(random);
  }

  ejectedAtMs = 0;
  private readonly lifecycle = Lifecycle.create(runnerLifecycle);
  private consecutiveFailures = 0;
  private failureRate = 0;
  private resultCount = 0;
  private ejectionCount = 0;
  private backOffEndsAtMs = 0;
  private reinstatedAtMs = 0;
  private isProbeReserved = false;

  private constructor(private readonly random: () => number) {}

  state(): 'healthy' | 'ejected' | 'probing' {
    return this.lifecycle.state();
  }

  /**
   * True when the runner gets no new requests: it is ejected, or another request is probing it. Starts the
   * probing state once the back-off is over.
   */
  isEjected(nowMs: number): boolean {
    if (this.state() === 'ejected' && nowMs >= this.backOffEndsAtMs)
      this.lifecycle.transition('BACK_OFF_OVER');
    return this.state() === 'ejected' || (this.state() === 'probing' && this.isProbeReserved);
  }

  /** Reserves the runner for one probe request; false when it is not probing or already reserved. */
  reserveProbe(): boolean {
    if (this.state() !== 'probing' || this.isProbeReserved) return false;
    this.isProbeReserved = true;
    return true;
  }

  /** Ends the reservation, so that another request may probe the runner. */
  releaseProbe(): void {
    this.isProbeReserved = false;
  }

  /**
   * Counts the result of a request. In state `ejected` the request was sent before the ejection, and
   * its result is ignored.
   */
  recordResult(isSuccess: boolean, nowMs: number): void {
    if (this.state() === 'ejected') return;
    this.resultCount += 1;
    this.failureRate += NEWEST_RESULT_WEIGHT * ((isSuccess ? 0 : 1) - this.failureRate);
    this.consecutiveFailures = isSuccess ? 0 : this.consecutiveFailures + 1;
    if (this.state() === 'probing') {
      if (isSuccess) this.reinstate(nowMs);
      else this.eject(nowMs);
      return;
    }
    const isOutlier =
      this.consecutiveFailures >= EJECTING_CONSECUTIVE_FAILURES ||
      (this.resultCount >= MIN_RESULTS_FOR_FAILURE_RATE &&
        this.failureRate > EJECTING_FAILURE_RATE);
    if (isOutlier) this.eject(nowMs);
  }

  /**
   * True when a new record would be nearly equivalent: the runner is healthy, its failure rate is near 0, and
   * its next back-off would be the shortest.
   */
  canBeDropped(nowMs: number): boolean {
    const isBackOffRelevant =
      this.ejectionCount > 0 && nowMs - this.reinstatedAtMs < MAX_BACK_OFF_MS;
    return (
      this.state() === 'healthy' && !isBackOffRelevant && this.failureRate < NEGLIGIBLE_FAILURE_RATE
    );
  }

  private eject(nowMs: number): void {
    // After a healthy period as long as the longest back-off, the back-off starts again at the shortest.
    const shouldResetBackOff =
      this.state() === 'healthy' && nowMs - this.reinstatedAtMs >= MAX_BACK_OFF_MS;
    this.ejectionCount = shouldResetBackOff ? 1 : this.ejectionCount + 1;
    const backOffMs = Math.min(MAX_BACK_OFF_MS, FIRST_BACK_OFF_MS * 2 ** (this.ejectionCount - 1));
    this.lifecycle.transition('EJECT');
    this.ejectedAtMs = nowMs;
    this.backOffEndsAtMs = nowMs + backOffMs * (1 + MAX_JITTER_SHARE * this.random());
    this.isProbeReserved = false;
  }

  private reinstate(nowMs: number): void {
    this.lifecycle.transition('REINSTATE');
    this.reinstatedAtMs = nowMs;
    this.failureRate = 0;
    this.resultCount = 0;
    this.isProbeReserved = false;
  }
}
