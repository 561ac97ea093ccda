import type { Failure } from '@acaciahoist/errors';
import { Lane } from './lane.js';
import type { PoolCounts } from './pool-counts.js';
import { refusals } from './refusals.js';
import type { RunnerTable } from './runner-table.js';
import type { SlotRequest } from './slot-request.js';
import type { SlotLimits } from './slot-limits.js';
import type { WaitEstimator } from './wait-estimator.js';
import type { WaitQueues } from './wait-queues.js';

/** Decides whether a request for which no slot is free may wait. */
export class AdmissionController {
  static create(
    runners: RunnerTable,
    queues: WaitQueues,
    estimator: WaitEstimator,
    maxWaiting: Readonly<Record<Lane, number>>,
    counts: PoolCounts,
  ): AdmissionController {
    return new AdmissionController(runners, queues, estimator, maxWaiting, counts);
  }

  private constructor(
    private readonly runners: RunnerTable,
    private readonly queues: WaitQueues,
    private readonly estimator: WaitEstimator,
    private readonly maxWaiting: Readonly<Record<Lane, number>>,
    private readonly counts: PoolCounts,
  ) {}

  /** Returns the failure with which the request is refused at once, or undefined when it may wait. */
  findRefusal(request: SlotRequest, limits: SlotLimits): Failure | undefined {
    const { service, lane, deadlineMs, exclude } = request;
    if (this.runners.listLive(service).every((runner) => exclude.includes(runner.address))) {
      return refusals.overloaded(
        `Service ${service} has no live runner except those that the request excludes.`,
      );
    }
    if (this.queues.size(lane) >= this.maxWaiting[lane]) {
      this.counts.queueFull += 1;
      return refusals.overloaded(
        `The ${lane} queue is full with ${this.queues.size(lane)} requests.`,
      );
    }
    // Reserved and adopted slots differ between runners; the values of one runner suffice for an estimate.
    const reserved = lane === Lane.heavy ? (this.runners.listLive(service)[0]?.reserved ?? 0) : 0;
    const slotsPerRunner = limits.usable - limits.quarantined - reserved;
    const { queues, runners } = this;
    const waitMs = this.estimator.estimateWaitMs(service, lane, queues, runners, slotsPerRunner);
    if (waitMs === undefined || waitMs <= deadlineMs) return undefined;
    this.counts.shed += 1;
    return refusals.overloaded(
      `The expected wait of ${Math.ceil(waitMs)} ms exceeds the deadline of ${deadlineMs} ms.`,
    );
  }
}
