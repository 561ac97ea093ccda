import type { Waiter } from './waiter.js';

/** Waiting requests in order of arrival, as a linked list so that any of them is removed in O(1). */
export class WaitQueue {
  static create(): WaitQueue {
    return new WaitQueue();
  }

  private first: Waiter | undefined;
  private last: Waiter | undefined;
  private count = 0;

  private constructor() {
    // Created empty.
  }

  size(): number {
    return this.count;
  }

  append(waiter: Waiter): void {
    waiter.previous = this.last;
    waiter.next = undefined;
    if (this.last === undefined) this.first = waiter;
    else this.last.next = waiter;
    this.last = waiter;
    this.count += 1;
  }

  /** Removes a waiter that is in this queue. */
  remove(waiter: Waiter): void {
    if (waiter.previous === undefined) this.first = waiter.next;
    else waiter.previous.next = waiter.next;
    if (waiter.next === undefined) this.last = waiter.previous;
    else waiter.next.previous = waiter.previous;
    waiter.previous = undefined;
    waiter.next = undefined;
    this.count -= 1;
  }

  /**
   * Returns the longest waiting request that does not exclude the runner. Only retries and ejected runners
   * cause exclusions, so few requests are skipped.
   */
  findFirstFor(runner: string): Waiter | undefined {
    let waiter = this.first;
    while (waiter?.request.exclude.includes(runner)) waiter = waiter.next;
    return waiter;
  }
}
