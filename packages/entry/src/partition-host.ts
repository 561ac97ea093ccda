import { Ownership } from '@acaciahoist/ownership';
import { rankCandidates } from '@acaciahoist/membership/rank-candidates';
import type { SlotAccess } from '@acaciahoist/request-router/slot-access';
import type { OutstandingGrant } from '@acaciahoist/types/outstanding-grant';
import type { PartitionView } from '@acaciahoist/types/partition-view';
import { createJournalPolicy } from './create-journal-policy.js';
import type { PeerCaller } from './peer-caller.js';
import type { EntryContext } from './entry-context.js';
import { PredecessorTracker } from './predecessor-tracker.js';
import { OwnedPartition } from './owned-partition.js';
import type { PartitionInputs } from './partition-inputs.js';

/** Interval at which the host checks whether the partition needs an owner. */
const CHECK_INTERVAL_MS = 200;
/** Delay after a failed claim before the next attempt. */
const CLAIM_RETRY_DELAY_MS = 500;
/** Each candidate waits this much longer than the one ranked before it, so that usually only one claims. */
const RANK_DELAY_MS = 600;

interface Options {
  context: EntryContext;
  partition: string;
  slotAccess: SlotAccess;
  /** Returns undefined while no declaration is in force. */
  createInputs: () => PartitionInputs | undefined;
  computeCommitIntervalMs: () => number;
  periodLength: 'day' | 'month';
  isStopping: () => boolean;
  callPeer: PeerCaller;
}

/** Follows one partition of the data centre, claims it when it has no owner, and acts as its owner. */
export class PartitionHost {
  static create(options: Options): PartitionHost {
    return new PartitionHost(options);
  }

  private readonly ownership: Ownership;
  private readonly predecessors: PredecessorTracker;
  private ownedPartition: OwnedPartition | undefined;
  /** Outstanding grants of the slot pool when this process last stopped owning the partition. */
  private retainedGrants: { grants: readonly OutstandingGrant[]; atMs: number } = {
    grants: [],
    atMs: 0,
  };
  private ownerlessSinceMs: number | undefined;
  private isClaiming = false;
  private lastClaimFailureKind = '';
  private nextClaimAtMs = 0;
  private isClosed = false;
  private cancelCheck: () => void = () => undefined;

  private constructor(private readonly options: Options) {
    const { context, partition } = options;
    const { settings, clock, identity } = context;
    this.ownership = Ownership.create({
      partition,
      identity,
      clock,
      log: context.openLogStream(`journal.${partition}`),
      leaseMs: settings.leaseMs,
      holdMs: settings.holdMs,
      renewMs: settings.renewMs,
      retentionMs: settings.retentionMs,
      snapshotEntries: settings.snapshotEntries,
      commitIntervalMs: options.computeCommitIntervalMs,
      policy: createJournalPolicy(partition, options.periodLength),
      isOwnerAlive: () => this.isOwnerAlive(),
    });
    this.predecessors = PredecessorTracker.create({
      context,
      partition,
      listUnreleased: () => this.ownership.unreleasedOwners(),
      callPeer: options.callPeer,
    });
    this.ownership.onAuthorityChange((authority) => {
      context.log('info', 'authority-changed', { partition, authority });
      if (authority === 'none') this.closeOwnedPartition();
    });
  }

  /** Reads the journal and starts to check regularly whether the partition needs an owner. */
  async start(): Promise<void> {
    await this.ownership.follow();
    this.scheduleCheck();
  }

  /** Returns the owned partition while this process may act as its owner. */
  currentOwnedPartition(): OwnedPartition | undefined {
    return this.ownership.authority() === 'none' ? undefined : this.ownedPartition;
  }

  /** Lists the grants of this process that may still be in use, even after it stopped being the owner. */
  listOutstandingGrants(): readonly OutstandingGrant[] {
    if (this.ownedPartition !== undefined) return this.ownedPartition.slotPool.outstanding();
    const ageMs = this.options.context.clock.monotonicMs() - this.retainedGrants.atMs;
    return this.retainedGrants.grants
      .filter((grant) => grant.remainingMs > ageMs)
      .map((grant) => ({ ...grant, remainingMs: grant.remainingMs - ageMs }));
  }

  isHolding(): boolean {
    return this.ownership.authority() === 'holding';
  }

  state(): ReturnType<Ownership['state']> {
    return this.ownership.state();
  }

  /** Returns the view of the partition to send to peers, or undefined when this process is not the owner. */
  createView(): PartitionView | undefined {
    const ownedPartition = this.currentOwnedPartition();
    if (ownedPartition === undefined) return undefined;
    const { process, incarnation } = this.options.context.identity;
    return {
      partition: this.options.partition,
      token: ownedPartition.token,
      holder: process,
      incarnation,
      backlog: ownedPartition.partitionOwner.computeBacklogJobs(),
    };
  }

  update(inputs: PartitionInputs): void {
    this.ownedPartition?.update(inputs);
  }

  /** Releases the partition: waits until the requests with a key end and appends a snapshot and a release. */
  async release(): Promise<void> {
    this.isClosed = true;
    this.cancelCheck();
    const { ownedPartition } = this;
    if (ownedPartition !== undefined) {
      await ownedPartition.drain();
      const released = await this.ownership.release();
      const result = released.isOk ? 'released' : released.error.kind;
      this.options.context.log('info', 'partition-released', {
        partition: this.options.partition,
        result,
      });
    }
    this.closeOwnedPartition();
    this.ownership.close();
  }

  describe(): Record<string, unknown> {
    return { ...this.ownership.describe(), owned: this.ownedPartition?.describe() ?? null };
  }

  /** Returns true when a live peer reports that it owns the partition under the newest token. */
  private isOwnerAlive(): boolean {
    const { membership, identity } = this.options.context;
    const view = membership.findOwner(this.options.partition);
    if (view === undefined || view.holder === identity.process) return false;
    if (
      membership.hasExited(view.holder, view.incarnation) ||
      membership.isUnreachable(view.holder)
    )
      return false;
    return membership
      .listLivePeers()
      .some((peer) =>
        peer.held.some((held) => held.partition === view.partition && held.token === view.token),
      );
  }

  private scheduleCheck(): void {
    if (this.isClosed) return;
    this.cancelCheck = this.options.context.clock.after(CHECK_INTERVAL_MS, () => {
      this.claimIfUnowned();
      this.scheduleCheck();
    });
  }

  private claimIfUnowned(): void {
    this.predecessors.recordFirstSeen();
    const { context, createInputs, isStopping } = this.options;
    const inputs = createInputs();
    const isClaimNeeded =
      inputs !== undefined &&
      !isStopping() &&
      !this.isClaiming &&
      this.ownedPartition === undefined &&
      !this.isOwnerAlive();
    if (!isClaimNeeded) {
      this.ownerlessSinceMs = undefined;
      return;
    }
    const nowMs = context.clock.monotonicMs();
    this.ownerlessSinceMs ??= nowMs;
    if (nowMs < this.nextClaimAtMs) return;
    if (nowMs - this.ownerlessSinceMs < this.computeRank() * RANK_DELAY_MS) return;
    void this.claim(inputs);
  }

  /** Delays the next attempt. Logs a failure only when its kind changes, as an outage can last for hours. */
  private recordFailedClaim(kind: string): void {
    const { context, partition } = this.options;
    if (kind !== this.lastClaimFailureKind)
      context.log('info', 'claim-failed', { partition, kind });
    this.lastClaimFailureKind = kind;
    this.nextClaimAtMs = context.clock.monotonicMs() + CLAIM_RETRY_DELAY_MS;
  }

  /** Returns the rank of this process, from 0, among the ready processes that may claim the partition. */
  private computeRank(): number {
    const { membership, identity } = this.options.context;
    const readyPeers = membership.listLivePeers().filter((peer) => peer.ready);
    const candidates = [identity.process, ...readyPeers.map((peer) => peer.address)];
    return rankCandidates(this.options.partition, candidates).indexOf(identity.process);
  }

  private async claim(inputs: PartitionInputs): Promise<void> {
    const { context, partition } = this.options;
    this.isClaiming = true;
    const startedAtMs = context.clock.monotonicMs();
    const predecessor = this.ownership.holder();
    const claimed = await this.ownership.claim();
    this.isClaiming = false;
    if (claimed.isErr) {
      this.recordFailedClaim(claimed.error.kind);
      return;
    }
    if (this.isClosed) return;
    this.lastClaimFailureKind = '';
    const nowMs = context.clock.monotonicMs();
    context.log('info', 'partition-claimed', {
      partition,
      token: claimed.value,
      former: predecessor?.process ?? null,
      tookMs: Math.round(nowMs - startedAtMs),
    });
    this.predecessors.recordFirstSeen();
    const holdUntilMs = this.predecessors.findLatestEndAtMs();
    // The claim shows that the lease of the last predecessor has expired. Predecessors that stopped earlier
    // made no grants after they stopped.
    const predecessorExpiry = { leaseUntilMs: Math.min(nowMs, holdUntilMs), holdUntilMs };
    const hasUnreleasedPredecessors = this.ownership.unreleasedOwners().length > 0;
    this.ownedPartition = OwnedPartition.create({
      context,
      partition,
      ownership: this.ownership,
      inputs: this.options.createInputs() ?? inputs,
      predecessorExpiry: hasUnreleasedPredecessors ? predecessorExpiry : undefined,
      slotAccess: this.options.slotAccess,
    });
    const { ownedPartition } = this;
    if (hasUnreleasedPredecessors)
      void this.predecessors.fenceUntilStopped(
        ownedPartition,
        () => this.ownedPartition === ownedPartition,
      );
  }

  private closeOwnedPartition(): void {
    const { ownedPartition } = this;
    if (ownedPartition === undefined) return;
    this.ownedPartition = undefined;
    this.retainedGrants = {
      grants: ownedPartition.slotPool.outstanding(),
      atMs: this.options.context.clock.monotonicMs(),
    };
    ownedPartition.close();
  }
}
