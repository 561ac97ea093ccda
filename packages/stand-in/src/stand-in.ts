import { Result } from 'true-myth/result';
import { JsonFields } from '@acaciahoist/http-client/json-fields';
import type { Addresses } from './addresses.js';
import { createMembers } from './create-members.js';
import { applyControlCall } from './apply-control-call.js';
import type { ControlCall } from './control-call.js';
import { defaultSettings } from './default-settings.js';
import type { EndpointResponse } from './endpoint-response.js';
import type { EndpointRequest } from './endpoint-request.js';
import { createErrorResponse } from './create-error-response.js';
import { History } from './history.js';
import { createJsonResponse } from './create-json-response.js';
import { LifeCycle } from './life-cycle.js';
import type { LogService } from './log-service.js';
import type { PlatformMember } from './platform-member.js';
import type { PartialSettings } from './partial-settings.js';
import { readQueryInteger } from './read-query-integer.js';
import type { Settings } from './settings.js';
import type { VmList } from './vm-list.js';

/** Largest number of events in one response of `GET /history`. */
const MAX_HISTORY_PAGE = 10_000;

/**
 * The simulated platform: log, VM list, workers and runners in one process. Each of these is a
 * member with a listening address of its own.
 */
export class StandIn {
  /** Creates a platform that is not started; settings that are absent have their defaults. */
  static create(settings: PartialSettings = {}): StandIn {
    const defaults = defaultSettings();
    return new StandIn({
      ...defaults,
      ...settings,
      log: { ...defaults.log, ...settings.log },
      vmList: { ...defaults.vmList, ...settings.vmList },
      workers: { ...defaults.workers, ...settings.workers },
      runners: { ...defaults.runners, ...settings.runners },
    });
  }

  /** The events that the members recorded. */
  readonly history: History;
  readonly log: LogService;
  readonly vmList: VmList;
  private readonly members: readonly PlatformMember[];
  private readonly lifeCycle: LifeCycle;

  private constructor(settings: Settings) {
    this.history = History.create(settings.clock, settings.historyEvents);
    const created = createMembers(settings, this.history, (request) => this.handleAdmin(request));
    this.log = created.log;
    this.vmList = created.vmList;
    this.members = created.members;
    this.lifeCycle = LifeCycle.create(settings.clock, this.history, this.vmList);
  }

  /** Starts all members. When a port is in use, stops the members that started and rejects. */
  async start(): Promise<void> {
    const results = await Promise.allSettled(
      this.members.map((member) => this.lifeCycle.start(member, true)),
    );
    const failure = results.find((result) => result.status === 'rejected');
    if (failure === undefined) return;
    await this.stop();
    throw failure.reason;
  }

  /** Stops all members: closes all sockets and ends all tasks. */
  async stop(): Promise<void> {
    await Promise.all(this.members.map((member) => this.lifeCycle.stop(member)));
  }

  /** Returns the addresses of all members; they are empty before `start`, which opens the ports. */
  addresses(): Addresses {
    const listAddresses = (kind: PlatformMember['kind']): string[] =>
      this.members.filter((member) => member.kind === kind).map(({ endpoint }) => endpoint.address);
    return {
      log: listAddresses('log')[0] ?? '',
      vmList: listAddresses('vm-list')[0] ?? '',
      workers: listAddresses('worker'),
      runners: listAddresses('runner'),
    };
  }

  /**
   * Sets or ends a fault, as `POST /control` does, and waits until the change is in force. Returns
   * the number of members that were changed, or what is wrong with the call.
   */
  async control(call: ControlCall): Promise<Result<number, string>> {
    const applied = applyControlCall(this.members, this.lifeCycle, call);
    if (applied.isErr) return Result.err(applied.error);
    this.history.add('', { type: 'fault', ...call });
    await applied.value.inForce;
    return Result.ok(applied.value.reached);
  }

  /** Handles `/control` and `/history`; undefined for other paths. */
  private handleAdmin(
    request: EndpointRequest,
  ): EndpointResponse | Promise<EndpointResponse> | undefined {
    if (request.path === '/control') return this.handleControl(request);
    if (request.path === '/history') return this.handleHistory(request);
    return undefined;
  }

  private async handleControl(request: EndpointRequest): Promise<EndpointResponse> {
    if (request.method !== 'POST')
      return createErrorResponse(405, 'bad-request', 'the method must be POST');
    const call = JsonFields.read(request.body, (fields) => ({
      target: fields.text('target'),
      fault: fields.text('fault'),
      value: fields.raw('value') ?? null,
    }));
    if (call.isErr) return createErrorResponse(400, 'bad-request', call.error);
    const reached = await this.control(call.value);
    return reached.isOk
      ? createJsonResponse(200, { reached: reached.value })
      : createErrorResponse(400, 'bad-request', reached.error);
  }

  private handleHistory(request: EndpointRequest): EndpointResponse {
    if (request.method !== 'GET')
      return createErrorResponse(405, 'bad-request', 'the method must be GET');
    const from = readQueryInteger(request.query, 'from', 0, Number.MAX_SAFE_INTEGER, 0);
    const limit = readQueryInteger(request.query, 'limit', 1, MAX_HISTORY_PAGE, MAX_HISTORY_PAGE);
    if (from === undefined || limit === undefined) {
      return createErrorResponse(400, 'bad-request', 'from and limit must be integers in range');
    }
    return createJsonResponse(200, {
      ...this.history.read(from, limit),
      counts: this.history.counts(),
    });
  }
}
