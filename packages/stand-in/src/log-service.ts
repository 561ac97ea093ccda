import { pageCodec } from '@acaciahoist/http-client/page-codec';
import type { LogPage } from '@acaciahoist/types/log-page';
import { AppendLimiter } from './append-limiter.js';
import type { Clock } from '@acaciahoist/clock';
import type { EndpointResponse } from './endpoint-response.js';
import type { EndpointRequest } from './endpoint-request.js';
import { createErrorResponse } from './create-error-response.js';
import type { History } from './history.js';
import { createJsonResponse } from './create-json-response.js';
import { LogFaults } from './log-faults.js';
import { readQueryInteger } from './read-query-integer.js';
import type { Settings } from './settings.js';
import { StreamStore } from './stream-store.js';

const STREAM_PATH = /^\/streams\/([A-Za-z0-9._-]{1,200})$/;

const MAX_STREAMS = 10_000;

/** Longest time that a read waits for a record. */
const MAX_WAIT_MS = 60_000;

const DEFAULT_PAGE_BYTES = 1024 * 1024;

/** Response that is never sent, for a silent outage. */
const WITHHELD_RESPONSE: EndpointResponse = {
  status: 200,
  contentType: 'text/plain',
  body: Buffer.alloc(0),
  delivery: 'withhold',
};

/**
 * The simulated log of the platform: named streams with offsets, a limit on appends, retention and
 * faults.
 */
export class LogService {
  static create(clock: Clock, history: History, settings: Settings['log']): LogService {
    return new LogService(clock, history, settings);
  }

  readonly faults = LogFaults.create();
  readonly limiter: AppendLimiter;
  retentionMs: number;
  retentionRecords: number;
  /** Address of the log, under which the history records its events. */
  source: () => string = () => '';
  private lateAppendCount = 0;
  private readonly streams = new Map<string, StreamStore>();

  private constructor(
    private readonly clock: Clock,
    private readonly history: History,
    private readonly settings: Settings['log'],
  ) {
    this.limiter = AppendLimiter.create(clock, settings.appendsPerSecond, settings.burst);
    this.retentionMs = settings.retentionMs;
    this.retentionRecords = settings.retentionRecords;
  }

  /** Number of late appends that have not taken effect yet. */
  get outstandingLateAppends(): number {
    return this.lateAppendCount;
  }

  /** Handles an append or a read of a stream. */
  handle(request: EndpointRequest): EndpointResponse | Promise<EndpointResponse> {
    const name = STREAM_PATH.exec(request.path)?.[1];
    if (name === undefined)
      return createErrorResponse(404, 'not-found', `the path ${request.path} does not exist`);
    if (this.faults.outage === 'silent') return WITHHELD_RESPONSE;
    if (request.method === 'POST') return this.append(name, request);
    if (request.method === 'GET') return this.read(name, request);
    return createErrorResponse(405, 'bad-request', 'the method must be GET or POST');
  }

  /** Starts or ends an outage. Waiting reads are answered when an outage starts. */
  setOutage(outage: LogFaults['outage']): void {
    this.faults.outage = outage;
    for (const store of this.streams.values()) store.notifyListeners();
  }

  /** Returns the retained records of a stream, whatever faults are set. */
  readRecords(name: string): LogPage {
    const store = this.streams.get(name);
    if (store === undefined) return { firstRetained: 0, end: 0, records: [] };
    this.trim(store);
    return store.read(0, Number.MAX_SAFE_INTEGER);
  }

  private append(
    name: string,
    request: EndpointRequest,
  ): EndpointResponse | Promise<EndpointResponse> {
    if (this.faults.outage === 'refuse') {
      this.recordAppend(name, request, { result: 'outage', answered: true });
      return createErrorResponse(503, 'log-unavailable', 'the log has an outage');
    }
    if (!this.streams.has(name) && this.streams.size >= MAX_STREAMS) {
      return createErrorResponse(403, 'forbidden', `the log already has ${MAX_STREAMS} streams`);
    }
    if (request.body.length > this.settings.maxRecordBytes) {
      return createErrorResponse(413, 'bad-request', 'the record is too large');
    }
    if (!this.limiter.takeToken()) {
      this.recordAppend(name, request, { result: 'rate-limited', answered: true });
      return createErrorResponse(429, 'log-unavailable', 'the append rate is exceeded');
    }
    if (!this.faults.consumeLateAppend()) return this.appendRecord(name, request);
    this.lateAppendCount += 1;
    return new Promise((resolve) => {
      this.clock.after(this.faults.lateMs, () => {
        this.lateAppendCount -= 1;
        resolve(this.appendRecord(name, request));
      });
    });
  }

  /** Appends the record and loses the response if a fault is set to lose it. */
  private appendRecord(name: string, request: EndpointRequest): EndpointResponse {
    let store = this.streams.get(name);
    if (store === undefined) {
      store = StreamStore.create();
      this.streams.set(name, store);
    }
    const offset = store.append(request.body, this.clock.monotonicMs());
    this.trim(store);
    const isResponseLost = this.faults.consumeLostResponse();
    this.recordAppend(name, request, { result: 'appended', offset, answered: !isResponseLost });
    const response = createJsonResponse(200, { offset });
    return isResponseLost ? { ...response, delivery: this.faults.lossDelivery } : response;
  }

  private async read(name: string, request: EndpointRequest): Promise<EndpointResponse> {
    const from = readQueryInteger(request.query, 'from', 0, Number.MAX_SAFE_INTEGER, 0);
    const waitMs = readQueryInteger(request.query, 'waitMs', 0, MAX_WAIT_MS, 0);
    const maxBytes = readQueryInteger(
      request.query,
      'maxBytes',
      1,
      16 * DEFAULT_PAGE_BYTES,
      DEFAULT_PAGE_BYTES,
    );
    if (from === undefined || waitMs === undefined || maxBytes === undefined) {
      return createErrorResponse(
        400,
        'bad-request',
        'from, waitMs and maxBytes must be integers in range',
      );
    }
    if (this.faults.outage === 'none' && waitMs > 0) await this.waitForRecord(name, from, waitMs);
    if (this.faults.outage === 'silent') return WITHHELD_RESPONSE;
    if (this.faults.outage === 'refuse')
      return createErrorResponse(503, 'log-unavailable', 'the log has an outage');
    const store = this.streams.get(name) ?? StreamStore.create();
    this.trim(store);
    return createPageResponse(store.read(from, maxBytes), request);
  }

  /**
   * Waits until the stream has a record at `from` or later, `waitMs` is over or an outage starts.
   */
  private waitForRecord(name: string, from: number, waitMs: number): Promise<void> {
    let store = this.streams.get(name);
    if (store !== undefined && store.end > from) return Promise.resolve();
    if (store === undefined) {
      if (this.streams.size >= MAX_STREAMS) return Promise.resolve();
      store = StreamStore.create();
      this.streams.set(name, store);
    }
    const awaitedStore = store;
    return new Promise((resolve) => {
      const finish = (): void => {
        cancelTimer();
        unsubscribe();
        resolve();
      };
      const cancelTimer = this.clock.after(waitMs, finish);
      const unsubscribe = awaitedStore.onAppend(() => {
        if (awaitedStore.end > from || this.faults.outage !== 'none') finish();
      });
    });
  }

  private trim(store: StreamStore): void {
    store.trim(this.clock.monotonicMs() - this.retentionMs, this.retentionRecords);
  }

  /** Adds an append and its result to the history. */
  private recordAppend(
    stream: string,
    request: EndpointRequest,
    event: { result: 'appended' | 'rate-limited' | 'outage'; offset?: number; answered: boolean },
  ): void {
    this.history.add(this.source(), {
      type: 'append',
      stream,
      process: request.process,
      bytes: request.body.length,
      ...event,
    });
  }
}

/** Creates the response to a read: binary if the client accepts it, otherwise JSON with base64. */
function createPageResponse(page: LogPage, request: EndpointRequest): EndpointResponse {
  if (request.headers.accept === 'application/octet-stream') {
    return { status: 200, contentType: 'application/octet-stream', body: pageCodec.encode(page) };
  }
  const records = page.records.map(({ offset, data }) => ({
    offset,
    data: Buffer.from(data).toString('base64'),
  }));
  return createJsonResponse(200, { firstRetained: page.firstRetained, end: page.end, records });
}
