import type { Clock } from '@acaciahoist/clock';
import type { StepAdvice } from '@acaciahoist/cell-planner/step-advice';
import { limits } from './limits.js';

/** Advice for one step. */
interface CachedAdvice {
  /** Monotonic time at which the ticket of each allowed worker expires; 0 once the worker refused it. */
  allowed: Map<string, number>;
  /** Tickets by worker; they may have expired. */
  tickets: Map<string, string>;
  /** Workers that a request named and the service did not allow. */
  denied: Set<string>;
  /** True while a request is outstanding. */
  isOutstanding: boolean;
  /** True once the service has answered a request. */
  isAnswered: boolean;
}

/** Keeps what the advice service has returned for the steps of jobs that have not ended. */
export class AdviceCache {
  static create(clock: Clock): AdviceCache {
    return new AdviceCache(clock);
  }

  private readonly byStep = new Map<string, CachedAdvice>();

  private constructor(private readonly clock: Clock) {}

  /** Returns the advice for a step; empty before the first response of the service. */
  get(step: string): StepAdvice {
    return this.getOrCreate(step);
  }

  /** Returns the ticket of a worker for a step; undefined when none is valid for long enough. */
  findTicket(step: string, worker: string): string | undefined {
    const advice = this.byStep.get(step);
    const expiresAtMs = advice?.allowed.get(worker) ?? 0;
    if (expiresAtMs < this.clock.monotonicMs() + limits.minTicketValidityMs) return undefined;
    return advice?.tickets.get(worker);
  }

  /** Sets whether an advice request for the step is outstanding. */
  setOutstanding(step: string, isOutstanding: boolean): void {
    this.getOrCreate(step).isOutstanding = isOutstanding;
  }

  /** Stores the tickets that the service issued; the named workers that got none are denied. */
  recordTickets(
    step: string,
    namedWorkers: readonly string[],
    tickets: readonly (readonly [string, string])[],
    ticketMs: number,
  ): void {
    const advice = this.getOrCreate(step);
    advice.isAnswered = true;
    const expiresAtMs = this.clock.monotonicMs() + ticketMs;
    for (const worker of namedWorkers) {
      advice.denied.add(worker);
      advice.allowed.delete(worker);
    }
    for (const [worker, ticket] of tickets) {
      advice.denied.delete(worker);
      advice.allowed.set(worker, expiresAtMs);
      advice.tickets.set(worker, ticket);
    }
  }

  /** Marks a ticket that the worker refused as expired. */
  expireTicket(step: string, worker: string): void {
    const advice = this.byStep.get(step);
    if (advice?.allowed.has(worker)) advice.allowed.set(worker, 0);
  }

  /**
   * Removes a worker whose incarnation has ended: its tickets are void, and its next incarnation needs a new
   * request.
   */
  forgetWorker(worker: string): void {
    for (const advice of this.byStep.values()) {
      advice.allowed.delete(worker);
      advice.tickets.delete(worker);
      advice.denied.delete(worker);
    }
  }

  forgetJob(job: string): void {
    for (const step of this.byStep.keys()) if (step.startsWith(job)) this.byStep.delete(step);
  }

  private getOrCreate(step: string): CachedAdvice {
    let advice = this.byStep.get(step);
    if (advice === undefined) {
      advice = {
        allowed: new Map(),
        tickets: new Map(),
        denied: new Set(),
        isOutstanding: false,
        isAnswered: false,
      };
      this.byStep.set(step, advice);
    }
    return advice;
  }
}
