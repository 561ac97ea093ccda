import type Result from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import type { Failure } from '@acaciahoist/errors';
import type { Heartbeat } from '@acaciahoist/types/heartbeat';
import type { PartitionView } from '@acaciahoist/types/partition-view';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import type { PeerView } from './peer-view.js';

/**
 * Heartbeat intervals without contact after which a peer counts as unreachable. This does not prove an
 * exit; it only makes other processes read the peer's journals.
 */
const UNREACHABLE_AFTER_INTERVALS = 2.5;

/** Dependencies and settings of a `Membership`. Times are in ms. */
interface Options {
  clock: Clock;
  identity: ProcessIdentity;
  /** Interval between heartbeats to the processes of the data centre. */
  heartbeatMs: number;
  /** Interval between digests to a process of another data centre. */
  digestMs: number;
  /** Returns a number in [0, 1), which chooses the receiver of a digest. */
  random: () => number;
  /** Sends a call to the process at an address and returns its reply. */
  call: <Type extends 'heartbeat' | 'digest'>(
    address: string,
    type: Type,
    body: PeerCallMap[Type]['request'],
    deadlineMs: number,
  ) => Promise<Result<PeerCallMap[Type]['reply'], Failure>>;
  /** Returns the state of this process for the next heartbeat. */
  describeSelf: () => Heartbeat;
  /** Called after each recorded heartbeat of a process of the same data centre. */
  onHeartbeat?: (peer: PeerView) => void;
}

/**
 * Keeps a view of the processes of the data centre and of the owners of all partitions, by heartbeats
 * and digests.
 */
export class Membership {
  static create(options: Options): Membership {
    return new Membership(options);
  }

  private readonly peers = new Map<string, PeerView>();
  private readonly partitionViews = new Map<string, PartitionView>();
  /**
   * Monotonic time by which each incarnation that was replaced at its address had exited. Grows by one
   * entry for each restart of a peer.
   */
  private readonly exitedAtMsByIncarnation = new Map<string, number>();
  /** Monotonic time of the last refused connection, by address. */
  private readonly refusedAtMsByAddress = new Map<string, number>();
  private localAddresses = new Set<string>();
  private remoteAddresses = new Set<string>();
  private cancelTimers: (() => void)[] = [];
  private isStopped = false;

  private constructor(private readonly options: Options) {}

  /** Starts the periodic heartbeats and digests. */
  start(): void {
    this.callPeriodically(this.options.heartbeatMs, () => {
      this.sendHeartbeats();
    });
    this.callPeriodically(this.options.digestMs, () => {
      this.sendDigest();
    });
    this.sendHeartbeats();
  }

  stop(): void {
    this.isStopped = true;
    for (const cancel of this.cancelTimers) cancel();
  }

  /**
   * Adds addresses to contact: seeds, whose data centre is not known yet, or addresses from the platform's VM
   * list, which may be outdated.
   */
  addAddresses(local: readonly string[], remote: readonly string[]): void {
    for (const address of remote) this.addRemoteAddress(address);
    for (const address of local)
      if (!this.remoteAddresses.has(address)) this.localAddresses.add(address);
    this.localAddresses.delete(this.options.identity.process);
    this.remoteAddresses.delete(this.options.identity.process);
  }

  /** Records the heartbeat of a peer and returns the heartbeat of this process as the reply. */
  acceptHeartbeat(from: ProcessIdentity, heartbeat: Heartbeat): Heartbeat {
    this.recordHeartbeat(from.process, from.incarnation, heartbeat);
    return this.options.describeSelf();
  }

  /** Merges the views of a process in another data centre and returns all known views as the reply. */
  acceptDigest(views: readonly PartitionView[]): readonly PartitionView[] {
    this.mergeViews(views);
    return this.listViews();
  }

  /** Records a refused connection: no process listens at the address, so its latest incarnation has exited. */
  recordRefusedConnection(address: string): void {
    this.refusedAtMsByAddress.set(address, this.options.clock.monotonicMs());
    const peer = this.peers.get(address);
    if (peer !== undefined) peer.exitedAtMs ??= this.options.clock.monotonicMs();
  }

  /**
   * True when the incarnation has certainly exited: its address refuses connections or another incarnation
   * has answered there.
   */
  hasExited(address: string, incarnation: string): boolean {
    return this.findExitedAtMs(address, incarnation) !== undefined;
  }

  /** Returns a monotonic time by which the incarnation had exited, or undefined when no exit is proven. */
  findExitedAtMs(address: string, incarnation: string): number | undefined {
    const exitedAtMs = this.exitedAtMsByIncarnation.get(incarnation);
    if (exitedAtMs !== undefined) return exitedAtMs;
    const peer = this.peers.get(address);
    return peer?.incarnation === incarnation ? (peer.exitedAtMs ?? undefined) : undefined;
  }

  /** True when the address refused a connection after `sinceMs`. */
  hasRefusedSince(address: string, sinceMs: number): boolean {
    return (this.refusedAtMsByAddress.get(address) ?? -Infinity) > sinceMs;
  }

  /**
   * True when the peer is unknown, has exited, or had its last contact more than
   * `UNREACHABLE_AFTER_INTERVALS` heartbeat intervals ago.
   */
  isUnreachable(address: string): boolean {
    const peer = this.peers.get(address);
    if (peer?.exitedAtMs !== null) return true;
    const unreachableAfterMs = this.options.heartbeatMs * UNREACHABLE_AFTER_INTERVALS;
    return this.options.clock.monotonicMs() - peer.lastContactAtMs > unreachableAfterMs;
  }

  /** Returns the peers of the data centre that are reachable. */
  listLivePeers(): readonly PeerView[] {
    return [...this.peers.values()].filter((peer) => !this.isUnreachable(peer.address));
  }

  /** Returns the latest known owner of a partition, which is the one with the greatest token. */
  findOwner(partition: string): PartitionView | undefined {
    return this.partitionViews.get(partition);
  }

  /** Records an owner that was read from a journal, or this process as an owner. */
  recordView(view: PartitionView): void {
    this.mergeViews([view]);
  }

  listViews(): readonly PartitionView[] {
    return [...this.partitionViews.values()];
  }

  /** Returns the peers and partition owners for the state dump. */
  describe(): Record<string, unknown> {
    const nowMs = this.options.clock.monotonicMs();
    return {
      peers: [...this.peers.values()].map((peer) => ({
        address: peer.address,
        incarnation: peer.incarnation,
        ageMs: Math.round(nowMs - peer.lastContactAtMs),
        ready: peer.ready,
        exited: peer.exitedAtMs !== null,
        revision: peer.revision,
      })),
      partitions: this.listViews(),
    };
  }

  private sendHeartbeats(): void {
    const body = this.options.describeSelf();
    for (const view of body.held) this.recordView(view);
    const addresses = new Set([...this.localAddresses, ...this.peers.keys()]);
    for (const address of addresses) {
      // The reply contains the peer's heartbeat, so one call serves both processes. The process with the
      // lower address calls; the other calls only while it counts that process as unreachable.
      const isCaller = this.options.identity.process < address || this.isUnreachable(address);
      if (isCaller) void this.sendHeartbeat(address, body);
    }
  }

  private async sendHeartbeat(address: string, body: Heartbeat): Promise<void> {
    const reply = await this.options.call(address, 'heartbeat', body, this.options.heartbeatMs * 2);
    if (reply.isOk) {
      const incarnation = reply.value.incarnation;
      this.recordHeartbeat(address, incarnation, reply.value);
    }
  }

  private sendDigest(): void {
    const address = [...this.remoteAddresses][
      Math.floor(this.options.random() * this.remoteAddresses.size)
    ];
    if (address === undefined) return;
    const body = { views: this.listViews() };
    void this.options.call(address, 'digest', body, this.options.digestMs).then((reply) => {
      if (reply.isOk) this.mergeViews(reply.value.views);
    });
  }

  private recordHeartbeat(address: string, incarnation: string, heartbeat: Heartbeat): void {
    if (heartbeat.dataCentre !== this.options.identity.dataCentre) {
      this.addRemoteAddress(address);
      this.mergeViews(heartbeat.held);
      return;
    }
    // A heartbeat of an earlier incarnation can arrive after the first heartbeat of its successor.
    if (this.exitedAtMsByIncarnation.has(incarnation)) return;
    const previousIncarnation = this.peers.get(address)?.incarnation;
    if (previousIncarnation !== undefined && previousIncarnation !== incarnation) {
      const exitedAtMs = this.peers.get(address)?.exitedAtMs;
      this.exitedAtMsByIncarnation.set(
        previousIncarnation,
        exitedAtMs ?? this.options.clock.monotonicMs(),
      );
    }
    const peer: PeerView = {
      address,
      incarnation,
      lastContactAtMs: this.options.clock.monotonicMs(),
      ready: heartbeat.ready,
      revision: heartbeat.revision,
      held: heartbeat.held,
      exitedAtMs: null,
    };
    this.peers.set(address, peer);
    this.mergeViews(heartbeat.held);
    this.options.onHeartbeat?.(peer);
  }

  /**
   * Keeps an address of another data centre for digests only. Heartbeats between all processes would
   * exceed 5 KB/s per process.
   */
  private addRemoteAddress(address: string): void {
    this.remoteAddresses.add(address);
    this.localAddresses.delete(address);
  }

  /** Replaces the known view of a partition when the given view has an equal or greater token. */
  private mergeViews(views: readonly PartitionView[]): void {
    for (const view of views) {
      const currentView = this.partitionViews.get(view.partition);
      if (currentView === undefined || view.token >= currentView.token)
        this.partitionViews.set(view.partition, view);
    }
  }

  private callPeriodically(intervalMs: number, callback: () => void): void {
    const index = this.cancelTimers.length;
    const schedule = (): void => {
      this.cancelTimers[index] = this.options.clock.after(intervalMs, () => {
        if (this.isStopped) return;
        callback();
        schedule();
      });
    };
    schedule();
  }
}
