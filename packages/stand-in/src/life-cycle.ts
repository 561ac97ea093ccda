import type { Clock } from '@acaciahoist/clock';
import type { JsonFields } from '@acaciahoist/http-client/json-fields';
import type { History } from './history.js';
import type { PlatformMember } from './platform-member.js';
import type { VmList } from './vm-list.js';

/** Longest notice before a member leaves: one day. */
const MAX_NOTICE_MS = 86_400_000;

/** Starts and stops members and updates the VM list accordingly. */
export class LifeCycle {
  static create(clock: Clock, history: History, vmList: VmList): LifeCycle {
    return new LifeCycle(clock, history, vmList);
  }

  /** For each leaving member, the function that cancels its planned stop. */
  private readonly cancelPlannedStopByMember = new Map<PlatformMember, () => void>();

  private constructor(
    private readonly clock: Clock,
    private readonly history: History,
    private readonly vmList: VmList,
  ) {}

  /** Opens the endpoint of a member. With `skipsLag`, the VM list shows the member immediately. */
  async start(member: PlatformMember, skipsLag = false): Promise<void> {
    this.cancelPlannedStop(member);
    if (member.endpoint.isListening) return;
    await member.endpoint.open();
    const { address } = member.endpoint;
    if ('vm' in member) this.vmList.set({ ...member.vm, address, state: 'live' }, skipsLag);
  }

  /**
   * Closes the connections of a member and removes its tasks and requests. The log keeps its
   * records.
   */
  async stop(member: PlatformMember): Promise<void> {
    this.cancelPlannedStop(member);
    const { endpoint } = member;
    if (!endpoint.isListening) return;
    if (member.kind === 'worker') member.worker.loseState();
    if (member.kind === 'runner') member.runner.loseRequests(endpoint.address);
    const closed = endpoint.close();
    endpoint.faults.setFrozen(false);
    if ('vm' in member) this.vmList.remove(endpoint.address);
    await closed;
  }

  /**
   * Returns the function that applies the fault `down` or `leave`, or undefined for other faults.
   * The function adds the starts and stops that are not finished yet to `pending`.
   */
  findFault(
    member: PlatformMember,
    fault: string,
    pending: Promise<void>[],
  ): ((fields: JsonFields) => void) | undefined {
    // Without the log's port no control call could end the fault. The log has `outage` instead.
    if (member.kind === 'log') return undefined;
    if (fault === 'down') {
      return (fields) => {
        pending.push(fields.flag('value') ? this.stop(member) : this.start(member));
      };
    }
    if (fault === 'leave') {
      return (fields) => {
        this.leave(member, fields.number('value', 0, MAX_NOTICE_MS));
      };
    }
    return undefined;
  }

  /** Shows the member as leaving in the VM list and stops it after the notice. */
  private leave(member: PlatformMember, noticeMs: number): void {
    this.cancelPlannedStop(member);
    const { address } = member.endpoint;
    this.history.add(address, { type: 'endpoint-leaving' });
    this.vmList.markLeaving(address);
    const cancel = this.clock.after(noticeMs, () => {
      void this.stop(member);
    });
    this.cancelPlannedStopByMember.set(member, cancel);
  }

  private cancelPlannedStop(member: PlatformMember): void {
    this.cancelPlannedStopByMember.get(member)?.();
    this.cancelPlannedStopByMember.delete(member);
  }
}
