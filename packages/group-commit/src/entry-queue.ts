import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import type { Result } from 'true-myth/result';
import type { Failure } from '@acaciahoist/errors';
import { estimateEntryBytes } from './estimate-entry-bytes.js';

/** One commit call. Its entries are appended in one record. */
interface QueuedCall {
  entries: readonly JournalEntry[];
  estimatedBytes: number;
  /** Monotonic time in ms at which the call is settled even if its result is not known. */
  deadlineAtMs: number;
  settle: (outcome: Result<void, Failure>) => void;
}

/**
 * First-in, first-out queue of commit calls, limited by the number and estimated size of their entries.
 */
export class EntryQueue {
  static create(maxEntries: number, maxBytes: number): EntryQueue {
    return new EntryQueue(maxEntries, maxBytes);
  }

  private calls: QueuedCall[] = [];
  private entryCount = 0;
  private estimatedBytes = 0;

  private constructor(
    private readonly maxEntries: number,
    private readonly maxBytes: number,
  ) {}

  /** Returns the number of waiting entries. */
  size(): number {
    return this.entryCount;
  }

  /** Adds the entries of one call. Returns undefined when they would exceed a limit of the queue. */
  add(
    entries: readonly JournalEntry[],
    deadlineAtMs: number,
  ): Promise<Result<void, Failure>> | undefined {
    const estimatedBytes = entries.reduce((sum, entry) => sum + estimateEntryBytes(entry), 0);
    if (this.entryCount + entries.length > this.maxEntries) return undefined;
    if (this.estimatedBytes + estimatedBytes > this.maxBytes) return undefined;
    this.entryCount += entries.length;
    this.estimatedBytes += estimatedBytes;
    return new Promise((settle) => {
      this.calls.push({ entries, estimatedBytes, deadlineAtMs, settle });
    });
  }

  /**
   * Removes and returns the oldest calls up to the given limits, at least one call unless the queue is
   * empty.
   */
  takeBatch(maxEntries: number, maxBytes: number): QueuedCall[] {
    let entryCount = 0;
    let estimatedBytes = 0;
    let callCount = 0;
    for (const call of this.calls) {
      entryCount += call.entries.length;
      estimatedBytes += call.estimatedBytes;
      if (callCount > 0 && (entryCount > maxEntries || estimatedBytes > maxBytes)) break;
      callCount += 1;
    }
    return this.removeFirst(callCount);
  }

  /** Puts taken calls back at the front of the queue. */
  putBack(taken: readonly QueuedCall[]): void {
    this.calls.unshift(...taken);
    for (const call of taken) {
      this.entryCount += call.entries.length;
      this.estimatedBytes += call.estimatedBytes;
    }
  }

  /**
   * Removes and returns the calls whose deadline has passed. Calls are in the order of their deadlines.
   */
  takeExpired(nowMs: number): QueuedCall[] {
    const firstUnexpired = this.calls.findIndex((call) => call.deadlineAtMs > nowMs);
    return this.removeFirst(firstUnexpired === -1 ? this.calls.length : firstUnexpired);
  }

  private removeFirst(callCount: number): QueuedCall[] {
    const taken = this.calls.splice(0, callCount);
    for (const call of taken) {
      this.entryCount -= call.entries.length;
      this.estimatedBytes -= call.estimatedBytes;
    }
    return taken;
  }
}
