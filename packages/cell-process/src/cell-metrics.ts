import { Counter, Histogram, Registry } from 'prom-client';

/** Upper bounds of the latency buckets in ms: from a cached response to the deadline of a client. */
const LATENCY_BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 250, 500, 1_000, 3_000];

/** Holds the counters and latency histograms of a process and renders them as text. */
export class CellMetrics {
  static create(): CellMetrics {
    return new CellMetrics();
  }

  private readonly registry = new Registry();
  private readonly counters = new Map<string, Counter>();
  private readonly requests: Histogram;
  private readonly loopDelay: Histogram;

  private constructor() {
    this.requests = new Histogram({
      name: 'request_ms',
      help: 'Time from a whole request to its answer by method and status',
      labelNames: ['method', 'status'],
      buckets: LATENCY_BUCKETS_MS,
      registers: [this.registry],
    });
    this.loopDelay = new Histogram({
      name: 'loop_delay_ms',
      help: 'Delay with which the process gets to its work',
      buckets: LATENCY_BUCKETS_MS,
      registers: [this.registry],
    });
  }

  /** Adds to the counter of this name; a counter is created when it is first used. */
  count(name: string, by = 1): void {
    let counter = this.counters.get(name);
    if (counter === undefined) {
      counter = new Counter({ name, help: name.replaceAll('_', ' '), registers: [this.registry] });
      this.counters.set(name, counter);
    }
    counter.inc(by);
  }

  /** Adds the time in ms from a complete request to its response. */
  observeRequest(method: string, status: number, durationMs: number): void {
    this.requests.observe({ method, status: String(status) }, durationMs);
  }

  /** Adds one measured event-loop delay in ms. */
  observeLoopDelay(delayMs: number): void {
    this.loopDelay.observe(delayMs);
  }

  /** Returns all metrics in the text format of Prometheus. */
  text(): Promise<string> {
    return this.registry.metrics();
  }
}
