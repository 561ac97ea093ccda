import { err, ok, type Result } from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import { Failure } from '@acaciahoist/errors';
import type { LogPage } from '@acaciahoist/types/log-page';
import type { LogRecord } from '@acaciahoist/types/log-record';
import type { LogStream } from '@acaciahoist/types/log-stream';
import type { Offset } from '@acaciahoist/types/offset';

/** Fault and latency of one call. */
interface Fault {
  /**
   * `lost`: the call takes effect and its reply is lost. `delayed`: the reply is lost and the record
   * is appended after `appendAfterMs`. `refuse`: the log refuses the call, which has no effect.
   * `vanish`: the call has no effect and no reply.
   */
  type: 'none' | 'refuse' | 'lost' | 'delayed' | 'vanish';
  latencyMs: number;
  appendAfterMs?: number;
}

/** In-memory log stream with faults. For tests. */
export class FakeLog implements LogStream {
  static create(clock: Clock, retentionMs = Infinity): FakeLog {
    return new FakeLog(clock, retentionMs);
  }

  /** Selects the fault of each call. */
  fault: (call: 'append' | 'read') => Fault = () => ({ type: 'none', latencyMs: 1 });
  /** Largest number of records in one page; small, so that readers need several pages. */
  pageSize = 50;
  /** All appended records, including those that retention has removed. */
  readonly records: LogRecord[] = [];
  /** Monotonic time at which each record was appended. */
  private readonly appendedAtMs: number[] = [];
  private firstRetained: Offset = 0;
  /** Callbacks of reads that wait for the next record. */
  private waitingReads: (() => void)[] = [];

  private constructor(
    private readonly clock: Clock,
    private readonly retentionMs: number,
  ) {}

  append(
    data: Uint8Array,
    timeoutMs: number,
    fault = this.fault('append'),
  ): Promise<Result<Offset, Failure>> {
    const { type, latencyMs, appendAfterMs = 0 } = fault;
    return new Promise((resolve) => {
      if (type === 'refuse') {
        const refused = Failure.create('log-unavailable', 'refused');
        this.clock.after(latencyMs, () => {
          resolve(err(refused));
        });
        return;
      }
      const unknown = Failure.create('append-unknown', 'no reply');
      this.clock.after(timeoutMs, () => {
        resolve(err(unknown));
      });
      if (type === 'vanish') return;
      this.clock.after(type === 'delayed' ? appendAfterMs : latencyMs / 2, () => {
        const offset = this.appendNow(data);
        if (type === 'none')
          this.clock.after(latencyMs / 2, () => {
            resolve(ok(offset));
          });
      });
    });
  }

  async read(
    from: Offset,
    waitMs: number,
    fault = this.fault('read'),
  ): Promise<Result<LogPage, Failure>> {
    const { type, latencyMs } = fault;
    if (type === 'none' && from >= this.records.length && waitMs > 0)
      await this.waitForRecord(waitMs);
    await new Promise<void>((resolve) => {
      this.clock.after(latencyMs / 2, resolve);
    });
    const page = this.createPage(from);
    await new Promise<void>((resolve) => {
      this.clock.after(latencyMs / 2, resolve);
    });
    return type === 'none' ? ok(page) : err(Failure.create('log-unavailable', 'outage'));
  }

  /** Appends a record at once, without a fault. */
  appendNow(data: Uint8Array): Offset {
    const offset = this.records.length;
    this.records.push({ offset, data });
    this.appendedAtMs.push(this.clock.monotonicMs());
    for (const resolveRead of this.waitingReads.splice(0)) resolveRead();
    return offset;
  }

  private createPage(from: Offset): LogPage {
    const oldestMs = this.clock.monotonicMs() - this.retentionMs;
    while ((this.appendedAtMs[this.firstRetained] ?? Infinity) < oldestMs) this.firstRetained += 1;
    const start = Math.max(from, this.firstRetained);
    const records = this.records.slice(start, start + this.pageSize);
    return { firstRetained: this.firstRetained, end: this.records.length, records };
  }

  private waitForRecord(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const cancel = this.clock.after(waitMs, () => {
        this.waitingReads = this.waitingReads.filter((resolveRead) => resolveRead !== resolve);
        resolve();
      });
      this.waitingReads.push(() => {
        cancel();
        resolve();
      });
    });
  }
}
