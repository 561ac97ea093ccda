import type { AppendRequest } from '@acaciahoist/cell-types/append-request';
import type { AppendResult } from '@acaciahoist/cell-types/append-result';
import type { ReadResult } from '@acaciahoist/cell-types/read-result';

interface Producer {
  epoch: number;
  sequence: number;
  recent: Map<number, AppendResult>;
}

/** A call that repeats one of this many last appends gets its first answer again. */
const RETAINED_APPEND_COUNT = 5;

/** One topic of the emulated store: conditional appends, producers with epochs, expiry. */
export class EmulatedTopic {
  static create(): EmulatedTopic {
    return new EmulatedTopic();
  }

  private firstOffset = 0;
  private records: { data: Uint8Array; atMs: number }[] = [];
  private readonly producers = new Map<string, Producer>();

  get end(): number {
    return this.firstOffset + this.records.length;
  }

  /** Records that are kept, oldest first. */
  listRecords(): Uint8Array[] {
    return this.records.map((record) => record.data);
  }

  append(request: AppendRequest, nowMs: number): AppendResult {
    const { producer } = request;
    const known = producer && this.producers.get(producer.name);
    if (producer !== undefined && known !== undefined) {
      if (producer.epoch < known.epoch) return { kind: 'fenced' };
      const earlier = producer.epoch === known.epoch && known.recent.get(producer.sequence);
      if (earlier) return earlier;
      if (producer.epoch === known.epoch && producer.sequence !== known.sequence + 1)
        return { kind: 'out-of-sequence' };
    }
    if (request.at !== undefined && request.at !== this.end)
      return { kind: 'moved', end: this.end };
    const result: AppendResult = { kind: 'appended', offset: this.end };
    for (const data of request.records) this.records.push({ data, atMs: nowMs });
    if (producer !== undefined) this.retainResult(producer, result);
    return result;
  }

  read(from: number): ReadResult {
    if (from < this.firstOffset) return { kind: 'expired', first: this.firstOffset };
    const records = this.records.slice(from - this.firstOffset).map((record) => record.data);
    return { kind: 'records', end: this.end, first: this.firstOffset, records, ageMs: 0 };
  }

  expire(beforeMs: number): void {
    const kept = this.records.findIndex((record) => record.atMs >= beforeMs);
    const dropped = kept === -1 ? this.records.length : kept;
    this.records.splice(0, dropped);
    this.firstOffset += dropped;
  }

  private retainResult(
    producer: NonNullable<AppendRequest['producer']>,
    result: AppendResult,
  ): void {
    const known = this.producers.get(producer.name);
    const recent = known?.epoch === producer.epoch ? known.recent : new Map<number, AppendResult>();
    recent.set(producer.sequence, result);
    recent.delete(producer.sequence - RETAINED_APPEND_COUNT);
    this.producers.set(producer.name, {
      epoch: producer.epoch,
      sequence: producer.sequence,
      recent,
    });
  }
}
