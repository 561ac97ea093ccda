import { createHash } from 'node:crypto';
import type { Clock } from '@acaciahoist/clock';
import type { Endpoint } from './endpoint.js';
import type { EndpointResponse } from './endpoint-response.js';
import type { EndpointRequest } from './endpoint-request.js';
import { createErrorResponse } from './create-error-response.js';
import { runnerFailures } from './runner-failures.js';
import type { History } from './history.js';
import type { Settings } from './settings.js';

const MAX_REQUEST_ID_LENGTH = 200;

/** Deadline of a request without `x-deadline-ms`. */
const DEFAULT_DEADLINE_MS = 60_000;

/** The faults of one runner that are in force. Control calls change them. */
interface RunnerFaults {
  /** Factor on the service time. */
  serviceTimeFactor: number;
  /** Every request gets the status 500 without delay. */
  failsRequests: boolean;
  /** Delay of the response after the request was served and its slot freed. */
  lateMs: number;
  delivery: EndpointResponse['delivery'];
}

/** A simulated runner. It serves every request and records when it has more requests than slots. */
export class Runner {
  static create(clock: Clock, history: History, settings: Settings['runners']): Runner {
    return new Runner(clock, history, settings);
  }

  readonly faults: RunnerFaults = {
    serviceTimeFactor: 1,
    failsRequests: false,
    lateMs: 0,
    delivery: 'normal',
  };
  /** Service time by service; `*` stands for all other services. */
  serviceMs: Readonly<Record<string, number>>;
  private busySlots = 0;
  /** Request ids by execution number, since a caller may send the same id twice. */
  private readonly requestIdByExecution = new Map<number, string>();
  private lastExecution = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly history: History,
    private readonly settings: Settings['runners'],
  ) {
    this.serviceMs = settings.serviceMs;
  }

  /** Handles an HTTP request to the runner. */
  async handle(endpoint: Endpoint, request: EndpointRequest): Promise<EndpointResponse> {
    if (request.path !== '/run')
      return createErrorResponse(404, 'not-found', `the path ${request.path} does not exist`);
    if (request.method !== 'POST')
      return createErrorResponse(405, 'bad-request', 'the method must be POST');
    const requestId = request.headers['x-request-id'];
    const deadlineMs = readDeadline(request);
    if (
      typeof requestId !== 'string' ||
      requestId === '' ||
      requestId.length > MAX_REQUEST_ID_LENGTH
    ) {
      return createErrorResponse(400, 'bad-request', 'x-request-id is missing or too long');
    }
    if (deadlineMs === undefined) {
      return createErrorResponse(
        400,
        'bad-request',
        'x-deadline-ms must be an integer of at most nine digits',
      );
    }
    const remainingMs = request.receivedMs + deadlineMs - this.clock.monotonicMs();
    if (remainingMs <= 0)
      return createErrorResponse(504, 'deadline-exceeded', 'the deadline passed');
    return this.serve(endpoint, request, requestId, remainingMs);
  }

  /** Records the running requests as lost and removes them; called when the runner goes down. */
  loseRequests(source: string): void {
    for (const requestId of this.requestIdByExecution.values()) {
      this.history.add(source, { type: 'request-ended', requestId, outcome: 'lost', busySlots: 0 });
    }
    this.requestIdByExecution.clear();
    this.busySlots = 0;
  }

  private async serve(
    endpoint: Endpoint,
    request: EndpointRequest,
    requestId: string,
    remainingMs: number,
  ): Promise<EndpointResponse> {
    const { incarnation, address } = endpoint;
    const service = String(request.headers['x-service'] ?? '');
    const execution = this.startExecution(address, request, requestId, service);
    const serviceMs = this.faults.failsRequests
      ? 0
      : this.findServiceTimeMs(service) * this.faults.serviceTimeFactor;
    const executionMs = Math.min(serviceMs, remainingMs);
    const endMs = this.clock.monotonicMs() + executionMs;
    // A timer may fire up to 2 ms early, and a response at the deadline must not come before it.
    for (;;) {
      const leftMs = endMs - this.clock.monotonicMs();
      if (leftMs <= 0) break;
      await new Promise<void>((resolve) => this.clock.after(leftMs, resolve));
    }
    await endpoint.faults.waitWhileFrozen();
    const hasFailed = this.faults.failsRequests;
    const outcome = serviceMs > remainingMs ? 'deadline' : hasFailed ? 'failed' : 'served';
    if (endpoint.incarnation === incarnation && this.requestIdByExecution.delete(execution)) {
      this.busySlots -= 1;
      const { busySlots } = this;
      this.history.add(address, { type: 'request-ended', requestId, outcome, busySlots });
    }
    return this.createResponse(request, outcome);
  }

  /** Occupies a slot, records the start in the history and returns the number of the execution. */
  private startExecution(
    address: string,
    request: EndpointRequest,
    requestId: string,
    service: string,
  ): number {
    this.lastExecution += 1;
    const execution = this.lastExecution;
    this.requestIdByExecution.set(execution, requestId);
    this.busySlots += 1;
    const { busySlots } = this;
    const { slots } = this.settings;
    this.history.add(address, {
      type: 'request-began',
      requestId,
      service,
      process: request.process,
      bodyDigest: createHash('sha256').update(request.body).digest('hex').slice(0, 16),
      busySlots,
    });
    if (busySlots <= slots) return execution;
    const oversold = { resource: 'slots', used: busySlots, capacity: slots };
    this.history.add(address, { type: 'oversold', ...oversold });
    return execution;
  }

  private createResponse(
    request: EndpointRequest,
    outcome: 'served' | 'failed' | 'deadline',
  ): EndpointResponse {
    if (outcome !== 'served') {
      const { status, text } = runnerFailures[outcome];
      return { status, contentType: 'text/plain', body: Buffer.from(text) };
    }
    return {
      status: 200,
      contentType: request.headers['content-type'] ?? 'application/octet-stream',
      body: request.body,
      delayMs: this.faults.lateMs,
      delivery: this.faults.delivery ?? 'normal',
    };
  }

  /** Returns the service time of a service without the factor of the fault `slow-service`. */
  private findServiceTimeMs(service: string): number {
    const ownServiceMs = Object.hasOwn(this.serviceMs, service)
      ? this.serviceMs[service]
      : undefined;
    return ownServiceMs ?? this.serviceMs['*'] ?? 0;
  }
}

/** Reads `x-deadline-ms`; undefined when it is not an integer of at most nine digits. */
function readDeadline(request: EndpointRequest): number | undefined {
  const text = request.headers['x-deadline-ms'];
  if (text === undefined) return DEFAULT_DEADLINE_MS;
  return typeof text === 'string' && /^\d{1,9}$/.test(text) ? Number(text) : undefined;
}
