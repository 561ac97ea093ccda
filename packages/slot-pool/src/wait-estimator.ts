import type { Lane } from './lane.js';
import type { RunnerTable } from './runner-table.js';
import type { WaitQueues } from './wait-queues.js';

/** Weight of the newest slot time in the exponential moving average; about the last 20 requests count. */
const NEWEST_MEASUREMENT_WEIGHT = 0.1;
/** With fewer measurements there is no estimate, so that one slow first request causes no refusals. */
const MIN_MEASUREMENTS = 5;

/** Estimates the wait for a slot from recent slot times and the lengths of the queues. */
export class WaitEstimator {
  static create(): WaitEstimator {
    return new WaitEstimator();
  }

  private readonly slotTimesByService = new Map<string, { meanMs: number; measurements: number }>();

  private constructor() {
    // Created without measurements.
  }

  /** Adds the time for which a request used its slot. */
  recordSlotTime(service: string, usedMs: number): void {
    const slotTime = this.slotTimesByService.get(service);
    if (slotTime === undefined) {
      this.slotTimesByService.set(service, { meanMs: usedMs, measurements: 1 });
      return;
    }
    slotTime.meanMs += NEWEST_MEASUREMENT_WEIGHT * (usedMs - slotTime.meanMs);
    slotTime.measurements += 1;
  }

  /**
   * Returns the expected wait of a new request in ms; undefined with too few measurements or without a slot.
   * `slotsPerRunner` is the number of slots that its lane may use on one runner.
   */
  estimateWaitMs(
    service: string,
    lane: Lane,
    queues: WaitQueues,
    runners: RunnerTable,
    slotsPerRunner: number,
  ): number | undefined {
    const slotTime = this.slotTimesByService.get(service);
    if (slotTime === undefined || slotTime.measurements < MIN_MEASUREMENTS) return undefined;
    const slots = runners.listLive(service).length * slotsPerRunner;
    if (slots <= 0) return undefined;
    let workMs = slotTime.meanMs;
    for (const [serviceAhead, queueLength] of queues.countAhead(lane)) {
      // Of a queue ahead, only the part that runners of both services will serve delays the request.
      workMs +=
        queueLength *
        this.meanMs(serviceAhead) *
        runners.computeSharedFraction(serviceAhead, service);
    }
    return workMs / slots;
  }

  private meanMs(service: string): number {
    return this.slotTimesByService.get(service)?.meanMs ?? 0;
  }
}
