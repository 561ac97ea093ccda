import type Result from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import type { Failure } from '@acaciahoist/errors';
import type { Heartbeat } from '@acaciahoist/types/heartbeat';
import type { PartitionView } from '@acaciahoist/types/partition-view';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import type { PeerView } from './peer-view.js';

/** Missed for this many intervals, a peer counts as silent; the only effect is that its journals are read. */
const UNREACHABLE_AFTER_INTERVALS = 2.5;

interface Options {
  clock: Clock;
  identity: ProcessIdentity;
  heartbeatMs: number;
  digestMs: number;
  /** Number in [0, 1); chooses the receiver of a digest. */
  random: () => number;
  call: <Type extends 'heartbeat' | 'digest'>(
    address: string,
    type: Type,
    body: PeerCallMap[Type]['request'],
    deadlineMs: number,
  ) => Promise<Result<PeerCallMap[Type]['reply'], Failure>>;
  /** State of this process for the next heartbeat. */
  describeSelf: () => Heartbeat;
  onHeartbeat?: (peer: PeerView) => void;
}

/** View of the processes of the data centre and of the holders of all partitions. */
export class Membership {
  static create(options: Options): Membership {
    return new Membership(options);
  }

  private readonly peers = new Map<string, PeerView>();
  private readonly partitionViews = new Map<string, PartitionView>();
  /** When another run at the same address replaced an incarnation. Bounded by the restarts seen. */
  private readonly exitedAtMsByIncarnation = new Map<string, number>();
  private readonly refusedAtMsByAddress = new Map<string, number>();
  private localAddresses = new Set<string>();
  private remoteAddresses = new Set<string>();
  private cancelTimers: (() => void)[] = [];
  private isStopped = false;

  private constructor(private readonly options: Options) {}

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
   * Adds addresses to contact: seeds, whose data centre is not known yet, and entries of the platform's
   * VM list, which is a hint only.
   */
  addAddresses(local: readonly string[], remote: readonly string[]): void {
    for (const address of remote) this.addRemoteAddress(address);
    for (const address of local)
      if (!this.remoteAddresses.has(address)) this.localAddresses.add(address);
    this.localAddresses.delete(this.options.identity.process);
    this.remoteAddresses.delete(this.options.identity.process);
  }

  /** Takes a heartbeat of a peer and answers with the own one. */
  acceptHeartbeat(from: ProcessIdentity, heartbeat: Heartbeat): Heartbeat {
    this.recordHeartbeat(from.process, from.incarnation, heartbeat);
    return this.options.describeSelf();
  }

  /** Merges views of another data centre and answers with all known ones. */
  acceptDigest(views: readonly PartitionView[]): readonly PartitionView[] {
    this.mergeViews(views);
    return this.listViews();
  }

  /** Marks that nothing listens at the address: the process that was seen there is gone. */
  recordRefusal(address: string): void {
    this.refusedAtMsByAddress.set(address, this.options.clock.monotonicMs());
    const peer = this.peers.get(address);
    if (peer !== undefined) peer.exitedAtMs ??= this.options.clock.monotonicMs();
  }

  /** True when the process of that incarnation certainly ended: its address is free or taken by another run. */
  hasExited(address: string, incarnation: string): boolean {
    return this.findExit(address, incarnation) !== undefined;
  }

  /** Monotonic time by which the process had certainly ended, or undefined when that is not proven. */
  findExit(address: string, incarnation: string): number | undefined {
    const exitedAtMs = this.exitedAtMsByIncarnation.get(incarnation);
    if (exitedAtMs !== undefined) return exitedAtMs;
    const peer = this.peers.get(address);
    return peer?.incarnation === incarnation ? (peer.exitedAtMs ?? undefined) : undefined;
  }

  /** True when the address refused a connection after `sinceMs`. */
  hasRefusedSince(address: string, sinceMs: number): boolean {
    return (this.refusedAtMsByAddress.get(address) ?? -Infinity) > sinceMs;
  }

  isSilent(address: string): boolean {
    const peer = this.peers.get(address);
    if (peer?.exitedAtMs !== null) return true;
    const unreachableAfterMs = this.options.heartbeatMs * UNREACHABLE_AFTER_INTERVALS;
    return this.options.clock.monotonicMs() - peer.lastContactMs > unreachableAfterMs;
  }

  /** Peers of the data centre that were heard of recently. */
  listLivePeers(): readonly PeerView[] {
    return [...this.peers.values()].filter((peer) => !this.isSilent(peer.address));
  }

  /** Latest known holder of a partition, by the greatest token. */
  findHolder(partition: string): PartitionView | undefined {
    return this.partitionViews.get(partition);
  }

  /** Records a holder learned from a journal or from the own ownership. */
  recordView(view: PartitionView): void {
    this.mergeViews([view]);
  }

  listViews(): readonly PartitionView[] {
    return [...this.partitionViews.values()];
  }

  describe(): Record<string, unknown> {
    const nowMs = this.options.clock.monotonicMs();
    return {
      peers: [...this.peers.values()].map((peer) => ({
        address: peer.address,
        incarnation: peer.incarnation,
        ageMs: Math.round(nowMs - peer.lastContactMs),
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
      // The answer carries the peer's heartbeat, so one call serves both; the other side calls on silence.
      const isCaller = this.options.identity.process < address || this.isSilent(address);
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
    // A frame of an earlier run can still arrive after the first one of its successor.
    if (this.exitedAtMsByIncarnation.has(incarnation)) return;
    const previous = this.peers.get(address)?.incarnation;
    if (previous !== undefined && previous !== incarnation) {
      const exitedAtMs = this.peers.get(address)?.exitedAtMs;
      this.exitedAtMsByIncarnation.set(previous, exitedAtMs ?? this.options.clock.monotonicMs());
    }
    const peer: PeerView = {
      address,
      incarnation,
      lastContactMs: this.options.clock.monotonicMs(),
      ready: heartbeat.ready,
      revision: heartbeat.revision,
      held: heartbeat.held,
      exitedAtMs: null,
    };
    this.peers.set(address, peer);
    this.mergeViews(heartbeat.held);
    this.options.onHeartbeat?.(peer);
  }

  /** Heartbeats stay inside the data centre: a mesh of all processes would exceed 5 KB/s a node. */
  private addRemoteAddress(address: string): void {
    this.remoteAddresses.add(address);
    this.localAddresses.delete(address);
  }

  private mergeViews(views: readonly PartitionView[]): void {
    for (const view of views) {
      const known = this.partitionViews.get(view.partition);
      if (known === undefined || view.token >= known.token)
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
