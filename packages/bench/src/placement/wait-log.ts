import type { Arrival } from './arrival.js';
import { percentile } from './percentile.js';
import type { PolicyResult } from './policy-result.js';

type WorkKind = keyof PolicyResult['waitP50Ms'];

function kindOf({ family }: Arrival): WorkKind {
  if (family.scheduled) return 'scheduled';
  return family.urgent ? 'urgent' : family.kind;
}

/** Collects the waits from submission to the first start, of each task and of each gang as a whole. */
export class WaitLog {
  static create(warmUpMs: number): WaitLog {
    return new WaitLog(warmUpMs);
  }

  private readonly waitsMs: Record<WorkKind, number[]> = {
    service: [],
    batch: [],
    gang: [],
    urgent: [],
    scheduled: [],
  };

  private constructor(private readonly warmUpMs: number) {}

  /** Adds a wait from `readyAtMs` (the submission, or the start time of scheduled work) to `nowMs`. */
  add(arrival: Arrival, readyAtMs: number, nowMs: number): void {
    if (arrival.family.kind !== 'service' && arrival.atMs < this.warmUpMs) return;
    if (arrival.family.broken) return;
    this.waitsMs[kindOf(arrival)].push(Math.max(0, nowMs - readyAtMs));
  }

  summary(): Pick<PolicyResult, 'waitP50Ms' | 'waitP99Ms' | 'waitMeanMs'> {
    const summarize = (measure: (values: readonly number[]) => number) => ({
      service: Math.round(measure(this.waitsMs.service)),
      batch: Math.round(measure(this.waitsMs.batch)),
      gang: Math.round(measure(this.waitsMs.gang)),
      urgent: Math.round(measure(this.waitsMs.urgent)),
      scheduled: Math.round(measure(this.waitsMs.scheduled)),
    });
    const mean = (values: readonly number[]) =>
      values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
    return {
      waitP50Ms: summarize((values) => percentile(values, 0.5)),
      waitP99Ms: summarize((values) => percentile(values, 0.99)),
      waitMeanMs: summarize(mean),
    };
  }
}
