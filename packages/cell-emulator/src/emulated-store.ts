import type { Clock } from '@acaciahoist/clock';
import { Instant } from '@acaciahoist/clock/instant';
import { computeReadAgeMs } from '@acaciahoist/cell-log/read-age';
import type { PausableClock } from '@acaciahoist/clock/pausable-clock';
import { StoreOutage } from '@acaciahoist/cell-log/store-outage';
import type { AppendRequest } from '@acaciahoist/cell-types/append-request';
import type { AppendResult } from '@acaciahoist/cell-types/append-result';
import type { KeyedRecord } from '@acaciahoist/cell-types/keyed-record';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { ReadResult } from '@acaciahoist/cell-types/read-result';
import { CallFault } from './call-fault.js';
import { EmulatedTopic } from './emulated-topic.js';

/** Timeout of a read in ms, and of an append that sets none. */
const CALL_TIMEOUT_MS = 900;
/** Delay in ms after which a late append takes effect. */
const LATE_APPEND_DELAY_MS = 3_000;
/** Delay in ms from a call to its execution by the store. */
const ONE_WAY_DELAY_MS = 1;
/** A topic refuses an append while more than this time in ms of appends waits there. */
const MAX_WAITING_MS = 2_000;
/** Timeout in ms of an append to a topic that executes appends one at a time. */
const QUEUED_APPEND_TIMEOUT_MS = 1_200;

/** Emulates the log store of the platform on a manual clock, with faults that a test sets for each caller. */
export class EmulatedStore {
  static create(clock: Clock): EmulatedStore {
    return new EmulatedStore(clock);
  }

  private readonly topics = new Map<string, EmulatedTopic>();
  /** Callbacks of reads that wait for records, by topic. */
  private readonly readWaiters = new Map<string, Set<() => void>>();
  /** Newest value of each key, by topic. */
  private readonly newestValues = new Map<string, Map<string, Uint8Array>>();
  /** Round-trip time of a call in ms; a slow store executes calls as early as a fast one and replies later. */
  roundTripMs = 4;
  /**
   * Time in ms that a topic takes for each append, one after the other, and for each byte of it. Undefined for a
   * store that executes any number of appends at once.
   */
  appendCost: { perAppendMs: number; perByteMs: number } | undefined;
  /** Bytes of the records of all appends that were executed, repeated ones included, by topic. */
  readonly executedBytes = new Map<string, number>();
  /** Time up to which a topic is busy with appends. */
  private readonly busyUntilMs = new Map<string, number>();
  /** Chooses the fault of a call by the caller's name; `wait` is a read that waits for records. */
  chooseFault: (caller: string, kind: 'append' | 'read' | 'wait') => CallFault = () =>
    CallFault.none;

  private constructor(private readonly clock: Clock) {}

  /** Returns the topic with this name; creates it if there is none. */
  getTopic(name: string): EmulatedTopic {
    let topic = this.topics.get(name);
    if (topic === undefined) this.topics.set(name, (topic = EmulatedTopic.create()));
    return topic;
  }

  /** Removes the records that were appended to any topic before a time; keeps the newest value of each key. */
  expireTopics(beforeMs: number): void {
    for (const topic of this.topics.values()) topic.expire(beforeMs);
  }

  /** Writes a key of a keyed topic, as the operator or a worker does. */
  writeKey(topic: string, key: string, value: Uint8Array | undefined): void {
    this.appendToTopic({ topic, records: [encodeKeyed({ key, value })] });
  }

  /** Creates the client of a process, which receives replies only while its clock runs. */
  createClient(caller: string, clock: PausableClock): LogStore {
    const outage = StoreOutage.create(clock);
    const observeCall = async <Result>(
      waitMs: number,
      call: Promise<Result>,
      isReply: (result: Result) => boolean,
    ): Promise<Result> => {
      outage.recordCall(waitMs);
      const result = await clock.deliver(call);
      if (isReply(result)) outage.recordResponse();
      else outage.recordFailure();
      return result;
    };
    return {
      append: (request) =>
        observeCall(
          0,
          this.append(caller, request),
          ({ kind }) => kind !== 'unknown' && kind !== 'refused',
        ),
      read: async (topic, from, waitMs) => {
        const sentAt = Instant.create(clock);
        const call = this.read(caller, topic, from, waitMs);
        const result = await observeCall(waitMs, call, ({ kind }) => kind !== 'failed');
        if (result.kind !== 'records') return result;
        return { ...result, ageMs: computeReadAgeMs(sentAt, waitMs, result.records.length) };
      },
      readNewest: (topic) =>
        observeCall(0, this.readNewest(caller, topic), (page) => page !== undefined),
      encodeKeyed,
      decodeKeyed,
      outageMs: () => outage.durationMs(),
    };
  }

  private async append(caller: string, request: AppendRequest): Promise<AppendResult> {
    const fault = this.chooseFault(caller, 'append');
    if (fault === CallFault.late)
      this.clock.after(LATE_APPEND_DELAY_MS, () => {
        this.appendToTopic(request);
      });
    await this.wait(ONE_WAY_DELAY_MS);
    const takesEffect = fault === CallFault.none || fault === CallFault.replyLost;
    if (takesEffect && this.appendCost !== undefined)
      return this.executeInTurn(request, fault, this.appendCost);
    const appendResult = takesEffect ? this.appendToTopic(request) : undefined;
    await this.wait(this.roundTripMs - ONE_WAY_DELAY_MS);
    if (fault === CallFault.refused)
      return { kind: 'refused', reason: 'emulated fault: append refused' };
    if (fault === CallFault.none && appendResult !== undefined) return appendResult;
    await this.wait(request.timeoutMs ?? CALL_TIMEOUT_MS);
    return { kind: 'unknown', reason: 'emulated fault: no reply to the append' };
  }

  /** Executes an append after those that wait at its topic, and replies unless the caller has given up. */
  private async executeInTurn(
    request: AppendRequest,
    fault: CallFault,
    { perAppendMs, perByteMs }: { perAppendMs: number; perByteMs: number },
  ): Promise<AppendResult> {
    const { topic, records } = request;
    const nowMs = this.clock.monotonicMs();
    const startsAtMs = Math.max(nowMs, this.busyUntilMs.get(topic) ?? nowMs);
    const replyDelayMs = this.roundTripMs - ONE_WAY_DELAY_MS;
    if (startsAtMs - nowMs > MAX_WAITING_MS) {
      await this.wait(replyDelayMs);
      return { kind: 'refused', reason: 'emulated store: too many appends wait' };
    }
    const bytes = records.reduce((sum, record) => sum + record.byteLength, 0);
    const endsAtMs = startsAtMs + perAppendMs + bytes * perByteMs;
    this.busyUntilMs.set(topic, endsAtMs);
    this.executedBytes.set(topic, (this.executedBytes.get(topic) ?? 0) + bytes);
    const execution = this.wait(endsAtMs - nowMs).then(() => this.appendToTopic(request));
    const timeoutMs = request.timeoutMs ?? QUEUED_APPEND_TIMEOUT_MS;
    if (fault !== CallFault.none || endsAtMs - nowMs + replyDelayMs > timeoutMs) {
      await this.wait(timeoutMs);
      return { kind: 'unknown', reason: 'emulated store: no reply in time' };
    }
    const result = await execution;
    await this.wait(replyDelayMs);
    return result;
  }

  private async read(
    caller: string,
    topic: string,
    from: number,
    waitMs: number,
  ): Promise<ReadResult> {
    await this.wait(ONE_WAY_DELAY_MS);
    if (this.chooseFault(caller, 'read') !== CallFault.none) {
      await this.wait(CALL_TIMEOUT_MS);
      return { kind: 'failed', reason: 'emulated fault: no reply to the read' };
    }
    if (waitMs > 0 && this.chooseFault(caller, 'wait') !== CallFault.none) {
      await this.wait(CALL_TIMEOUT_MS);
      return { kind: 'failed', reason: 'emulated fault: no reply to the waiting read' };
    }
    const endMs = this.clock.monotonicMs() + waitMs;
    for (;;) {
      const result = this.getTopic(topic).read(from);
      const isEmpty = result.kind === 'records' && result.records.length === 0;
      if (!isEmpty || this.clock.monotonicMs() >= endMs) {
        await this.wait(this.roundTripMs - ONE_WAY_DELAY_MS);
        return result;
      }
      await this.waitForAppend(topic, endMs - this.clock.monotonicMs());
    }
  }

  private async readNewest(
    caller: string,
    topic: string,
  ): Promise<{ records: KeyedRecord[]; end: number } | undefined> {
    await this.wait(ONE_WAY_DELAY_MS);
    if (this.chooseFault(caller, 'read') !== CallFault.none) return undefined;
    const values = this.newestValues.get(topic) ?? new Map<string, Uint8Array>();
    const records = [...values].map(([key, value]) => ({ key, value }));
    return { records, end: this.getTopic(topic).end };
  }

  /** Waits until records may have been appended to the topic, `timeoutMs` at most. */
  private waitForAppend(topic: string, timeoutMs: number): Promise<void> {
    const waiters = this.readWaiters.get(topic) ?? new Set();
    this.readWaiters.set(topic, waiters);
    return new Promise((resolve) => {
      const endWait = (): void => {
        cancel();
        waiters.delete(endWait);
        resolve();
      };
      const cancel = this.clock.after(timeoutMs, endWait);
      waiters.add(endWait);
    });
  }

  /** Appends the records, ends the waits of reads and updates the newest values of a keyed topic. */
  private appendToTopic(request: AppendRequest): AppendResult {
    const previousEnd = this.getTopic(request.topic).end;
    const result = this.getTopic(request.topic).append(request, this.clock.monotonicMs());
    for (const endWait of [...(this.readWaiters.get(request.topic) ?? [])]) endWait();
    const isNew = result.kind === 'appended' && result.offset === previousEnd;
    if (isNew && request.topic.startsWith('keyed.'))
      for (const data of request.records) this.updateNewestValue(request.topic, data);
    return result;
  }

  private updateNewestValue(topic: string, data: Uint8Array): void {
    const record = decodeKeyed(data);
    let values = this.newestValues.get(topic);
    if (values === undefined)
      this.newestValues.set(topic, (values = new Map<string, Uint8Array>()));
    if (record?.value === undefined) values.delete(record?.key ?? '');
    else values.set(record.key, record.value);
  }

  private wait(ms: number): Promise<void> {
    return new Promise((resolve) => this.clock.after(ms, resolve));
  }
}

/** Encodes a record of a keyed topic: length of the key in one byte, key, value; no value removes the key. */
function encodeKeyed(record: KeyedRecord): Uint8Array {
  const key = Buffer.from(record.key);
  return Buffer.concat([Buffer.from([key.byteLength]), key, record.value ?? Buffer.alloc(0)]);
}

function decodeKeyed(data: Uint8Array): KeyedRecord | undefined {
  const length = data[0] ?? 0;
  const value = data.subarray(1 + length);
  return {
    key: Buffer.from(data.subarray(1, 1 + length)).toString(),
    value: value.byteLength === 0 ? undefined : value,
  };
}
