import type { Clock } from '@acaciahoist/clock';
import type { Vm } from '@acaciahoist/types/vm';
import type { EndpointResponse } from './endpoint-response.js';
import type { EndpointRequest } from './endpoint-request.js';
import { createErrorResponse } from './create-error-response.js';
import { createJsonResponse } from './create-json-response.js';

/**
 * The simulated VM list of the platform. It shows every change after a lag; faults hide VMs or add
 * VMs that do not exist.
 */
export class VmList {
  static create(clock: Clock, lagMs: number): VmList {
    return new VmList(clock, lagMs);
  }

  /** Fault: requests get the status 503. */
  hasOutage = false;
  /** Fault: addresses of VMs that the list omits although they are live. */
  hiddenAddresses: ReadonlySet<string> = new Set();
  /** Fault: VMs that the list shows although they do not exist. */
  phantoms: readonly Vm[] = [];
  /** Actual VMs by address. */
  private readonly actualVms = new Map<string, Vm>();
  /** VMs that the list shows, by address. A change is applied here after the lag. */
  private readonly listedVms = new Map<string, Vm>();
  private pendingChanges: { dueMs: number; address: string; vm: Vm | undefined }[] = [];

  private constructor(
    private readonly clock: Clock,
    public lagMs: number,
  ) {}

  /** Adds or replaces a VM. With `skipsLag`, the list shows the change immediately. */
  set(vm: Vm, skipsLag = false): void {
    this.actualVms.set(vm.address, vm);
    this.scheduleChange(vm.address, vm, skipsLag);
  }

  /** Removes a VM; the list shows this after the lag. */
  remove(address: string): void {
    this.actualVms.delete(address);
    this.scheduleChange(address, undefined, false);
  }

  /** Sets the state of a VM to `leaving`; the list shows this after the lag. */
  markLeaving(address: string): void {
    const vm = this.actualVms.get(address);
    if (vm !== undefined) this.set({ ...vm, state: 'leaving' });
  }

  /** Applies the changes that are due and returns the list as it is shown now. */
  list(): readonly Vm[] {
    const nowMs = this.clock.monotonicMs();
    const due = this.pendingChanges.filter((change) => change.dueMs <= nowMs);
    this.pendingChanges = this.pendingChanges.filter((change) => change.dueMs > nowMs);
    for (const { address, vm } of due) this.applyChange(address, vm);
    const visible = [...this.listedVms.values()].filter(
      (vm) => !this.hiddenAddresses.has(vm.address),
    );
    return [...visible, ...this.phantoms];
  }

  /** Handles `GET /vms`. */
  handle(request: EndpointRequest): EndpointResponse {
    if (request.path !== '/vms')
      return createErrorResponse(404, 'not-found', `the path ${request.path} does not exist`);
    if (request.method !== 'GET')
      return createErrorResponse(405, 'bad-request', 'the method must be GET');
    if (this.hasOutage) return createErrorResponse(503, 'overloaded', 'the VM list has an outage');
    return createJsonResponse(200, { vms: this.list() });
  }

  private scheduleChange(address: string, vm: Vm | undefined, skipsLag: boolean): void {
    if (skipsLag) this.applyChange(address, vm);
    else this.pendingChanges.push({ dueMs: this.clock.monotonicMs() + this.lagMs, address, vm });
  }

  private applyChange(address: string, vm: Vm | undefined): void {
    if (vm === undefined) this.listedVms.delete(address);
    else this.listedVms.set(address, vm);
  }
}
