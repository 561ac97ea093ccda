import type { Clock } from '@acaciahoist/clock';
import type { Decision } from '@acaciahoist/placement/decision';
import type { Placement } from '@acaciahoist/placement';
import { percentile } from './percentile.js';

/** Calls a placement core and measures the time of the calls. */
export class TimedCalls {
  static create(placement: Placement, clock: Clock): TimedCalls {
    return new TimedCalls(placement, clock);
  }

  /** Duration of each decision, ms. */
  readonly decisionTimesMs: number[] = [];
  /** Total time in `decide`, and in other calls. */
  decideMs = 0;
  otherMs = 0;
  /** Number of start decisions. */
  starts = 0;

  private constructor(
    private readonly placement: Placement,
    private readonly clock: Clock,
  ) {}

  /** Discards the measurements so far, for example those of the warm-up. */
  reset(): void {
    this.decisionTimesMs.length = 0;
    this.decideMs = 0;
    this.otherMs = 0;
    this.starts = 0;
  }

  decide(nowMs: number, wallMs: number): Decision[] {
    const before = this.clock.monotonicMs();
    const decisions = this.placement.decide(nowMs, wallMs);
    const tookMs = this.clock.monotonicMs() - before;
    this.decisionTimesMs.push(tookMs);
    this.decideMs += tookMs;
    for (const decision of decisions) if (decision.type === 'start') this.starts += 1;
    return decisions;
  }

  /** Makes any call other than `decide`. */
  call<Value>(run: (placement: Placement) => Value): Value {
    const before = this.clock.monotonicMs();
    const value = run(this.placement);
    this.otherMs += this.clock.monotonicMs() - before;
    return value;
  }

  summary() {
    return {
      decisionP50Ms: percentile(this.decisionTimesMs, 0.5),
      decisionP99Ms: percentile(this.decisionTimesMs, 0.99),
      decisionMaxMs: percentile(this.decisionTimesMs, 1),
      decideMsPerStart: this.decideMs / Math.max(1, this.starts),
      coreMsPerStart: (this.decideMs + this.otherMs) / Math.max(1, this.starts),
    };
  }
}
