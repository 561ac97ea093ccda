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
  readonly decisionDurationsMs: number[] = [];
  /** Total time in `decide`, and in the other calls. */
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
    this.decisionDurationsMs.length = 0;
    this.decideMs = 0;
    this.otherMs = 0;
    this.starts = 0;
  }

  decide(nowMs: number, wallMs: number): Decision[] {
    const startMs = this.clock.monotonicMs();
    const decisions = this.placement.decide(nowMs, wallMs);
    const durationMs = this.clock.monotonicMs() - startMs;
    this.decisionDurationsMs.push(durationMs);
    this.decideMs += durationMs;
    for (const decision of decisions) if (decision.type === 'start') this.starts += 1;
    return decisions;
  }

  /** Makes any call other than `decide`. */
  call<Value>(run: (placement: Placement) => Value): Value {
    const startMs = this.clock.monotonicMs();
    const value = run(this.placement);
    this.otherMs += this.clock.monotonicMs() - startMs;
    return value;
  }

  summary() {
    return {
      decisionP50Ms: percentile(this.decisionDurationsMs, 0.5),
      decisionP99Ms: percentile(this.decisionDurationsMs, 0.99),
      decisionMaxMs: percentile(this.decisionDurationsMs, 1),
      decideMsPerStart: this.decideMs / Math.max(1, this.starts),
      coreMsPerStart: (this.decideMs + this.otherMs) / Math.max(1, this.starts),
    };
  }
}
