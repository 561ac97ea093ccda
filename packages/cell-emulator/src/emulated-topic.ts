import type { AppendRequest } from '@acaciahoist/cell-types/append-request';
import type { AppendResult } from '@acaciahoist/cell-types/append-result';
import type { ReadResult } from '@acaciahoist/cell-types/read-result';

/** The newest epoch of a producer, its last sequence number and the results of its last appends. */
interface ProducerState {
  epoch: number;
  sequence: number;
  /** Results by sequence number. */
  recentResults: Map<number, AppendResult>;
}

/** Number of last appends per producer whose results are retained for repeated appends. */
const RETAINED_APPEND_COUNT = 5;

/** A topic of the emulated store with conditional appends, producers with epochs, and expiry. */
export class EmulatedTopic {
  static create(): EmulatedTopic {
    return new EmulatedTopic();
  }

  private firstOffset = 0;
  private records: { data: Uint8Array; atMs: number }[] = [];
  private readonly producers = new Map<string, ProducerState>();

  /** Offset of the next record. */
  get end(): number {
    return this.firstOffset + this.records.length;
  }

  /** Returns the data of the records that have not expired, oldest first. */
  listRecords(): Uint8Array[] {
    return this.records.map((record) => record.data);
  }

  /**
   * Appends the records unless the producer's epoch, its sequence number or the condition `at` forbids it.
   * Returns the first result for a repeated append.
   */
  append(request: AppendRequest, nowMs: number): AppendResult {
    const { producer } = request;
    const state = producer && this.producers.get(producer.name);
    if (producer !== undefined && state !== undefined) {
      if (producer.epoch < state.epoch) return { kind: 'fenced' };
      const earlierResult =
        producer.epoch === state.epoch && state.recentResults.get(producer.sequence);
      if (earlierResult) return earlierResult;
      if (producer.epoch === state.epoch && producer.sequence !== state.sequence + 1)
        return { kind: 'out-of-sequence' };
    }
    if (request.at !== undefined && request.at !== this.end)
      return { kind: 'moved', end: this.end };
    const result: AppendResult = { kind: 'appended', offset: this.end };
    for (const data of request.records) this.records.push({ data, atMs: nowMs });
    if (producer !== undefined) this.retainResult(producer, result);
    return result;
  }

  /** Returns all records from the offset `from` on. */
  read(from: number): ReadResult {
    if (from < this.firstOffset) return { kind: 'expired', first: this.firstOffset };
    const records = this.records.slice(from - this.firstOffset).map((record) => record.data);
    return { kind: 'records', end: this.end, first: this.firstOffset, records, ageMs: 0 };
  }

  /** Removes the records that were appended before a time. */
  expire(beforeMs: number): void {
    const firstRetainedIndex = this.records.findIndex((record) => record.atMs >= beforeMs);
    const droppedCount = firstRetainedIndex === -1 ? this.records.length : firstRetainedIndex;
    this.records.splice(0, droppedCount);
    this.firstOffset += droppedCount;
  }

  private retainResult(
    producer: NonNullable<AppendRequest['producer']>,
    result: AppendResult,
  ): void {
    const state = this.producers.get(producer.name);
    const recentResults =
      state?.epoch === producer.epoch ? state.recentResults : new Map<number, AppendResult>();
    recentResults.set(producer.sequence, result);
    recentResults.delete(producer.sequence - RETAINED_APPEND_COUNT);
    this.producers.set(producer.name, {
      epoch: producer.epoch,
      sequence: producer.sequence,
      recentResults,
    });
  }
}
