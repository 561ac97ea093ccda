import type { Clock } from '@acaciahoist/clock';
import type { StepAdvice } from '@acaciahoist/cell-planner/step-advice';
import { limits } from './limits.js';

interface Page {
  allowed: Map<string, number>;
  tickets: Map<string, string>;
  denied: Set<string>;
  isAsked: boolean;
  isKnown: boolean;
}

/** What the advice service said about each step that still has waiting tasks. */
export class AdviceBook {
  static create(clock: Clock): AdviceBook {
    return new AdviceBook(clock);
  }

  private readonly pages = new Map<string, Page>();

  private constructor(private readonly clock: Clock) {}

  get(step: string): StepAdvice {
    return this.page(step);
  }

  /** Ticket of a worker for a step; undefined when there is none that can still be used. */
  ticket(step: string, worker: string): string | undefined {
    const page = this.pages.get(step);
    const expiresMs = page?.allowed.get(worker) ?? 0;
    if (expiresMs < this.clock.monotonicMs() + limits.ticketMarginMs) return undefined;
    return page?.tickets.get(worker);
  }

  markAsked(step: string, isAsked: boolean): void {
    this.page(step).isAsked = isAsked;
  }

  record(
    step: string,
    named: readonly string[],
    tickets: readonly (readonly [string, string])[],
    ticketMs: number,
  ): void {
    const page = this.page(step);
    page.isKnown = true;
    const expiresMs = this.clock.monotonicMs() + ticketMs;
    for (const worker of named) {
      page.denied.add(worker);
      page.allowed.delete(worker);
    }
    for (const [worker, ticket] of tickets) {
      page.denied.delete(worker);
      page.allowed.set(worker, expiresMs);
      page.tickets.set(worker, ticket);
    }
  }

  /** The worker refused the ticket. */
  expire(step: string, worker: string): void {
    const page = this.pages.get(step);
    if (page?.allowed.has(worker)) page.allowed.set(worker, 0);
  }

  /** A life of a worker is over: its tickets are void, and a later life has to be named again. */
  forgetWorker(worker: string): void {
    for (const page of this.pages.values()) {
      page.allowed.delete(worker);
      page.tickets.delete(worker);
      page.denied.delete(worker);
    }
  }

  forgetJob(job: string): void {
    for (const step of this.pages.keys()) if (step.startsWith(job)) this.pages.delete(step);
  }

  private page(step: string): Page {
    let page = this.pages.get(step);
    if (page === undefined) {
      page = {
        allowed: new Map(),
        tickets: new Map(),
        denied: new Set(),
        isAsked: false,
        isKnown: false,
      };
      this.pages.set(step, page);
    }
    return page;
  }
}
