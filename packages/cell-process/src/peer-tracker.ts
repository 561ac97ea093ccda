import type { Clock } from '@acaciahoist/clock';
import { Instant } from '@acaciahoist/clock/instant';
import type { ReportedCount } from '@acaciahoist/cell-front/reported-count';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import type { ConfigurationKeeper } from './configuration-keeper.js';
import { OwnerStoreReport } from './owner-store-report.js';
import type { PeerCalls } from './peer-calls.js';
import type { TeamLimits } from './team-limits.js';
import { wireAge } from './wire-age.js';

type Offer = PeerCallMap['offer-help']['request'];
type Reply = PeerCallMap['offer-help']['reply'];
type Claim = NonNullable<Reply['claim']>;

interface Options {
  clock: Clock;
  peers: Pick<PeerCalls, 'call'>;
  ownAddress: string;
  dataCentre: string;
  /** The newest claim in the replica of this process; undefined for none. */
  replicaClaim: () => Claim | undefined;
  /** Cores to report to the owner: 0 for a process that could not own the cell now. */
  offeredCores: () => number;
  /** Reports the version in force to other processes and observes theirs. */
  configuration: Pick<ConfigurationKeeper, 'describeVersion' | 'observeVersion'>;
  /** Limits on the new jobs of teams, which the owner sends. */
  teamLimits?: Pick<TeamLimits, 'listArrivals' | 'applyReply'>;
  /**
   * The process at the address of the newest claim has answered; it may be another incarnation than that
   * of the claim.
   */
  onOwnerReply: (claim: Claim, reply: Reply) => void;
  /** The newest claim has the address of this process, but may be of an earlier incarnation. */
  onOwnAddressClaimed: (claim: Claim) => void;
}

/** Timeout in ms of a call to the owner. A call takes 2 ms. */
const OWNER_CALL_TIMEOUT_MS = 700;
/** When the owner has not answered a call within this time in ms, other processes are queried as well. */
const QUERY_DELAY_MS = 200;
/** Maximum event-loop delay of the owner in ms that is taken into account; a longer one counts as this. */
const MAX_OWNER_LOOP_DELAY_MS = 100;
/** Timeout in ms of a query to another process. */
const QUERY_TIMEOUT_MS = 250;
/** Maximum number of processes that are queried at once. */
const MAX_QUERIED_PROCESSES = 2;

/**
 * Queries other processes and keeps what they report: the owner of the cell, the processes that hold a
 * replica, and pending counts. When the store refuses the calls of the owner and of some other processes at
 * the same time, those processes cannot read the successor's claim from the log and receive it from others.
 */
export class PeerTracker {
  static create(options: Options): PeerTracker {
    return new PeerTracker(options);
  }

  /** The newest claim that another process sent. */
  private claim: Claim | undefined;
  private standbys: readonly (readonly [address: string, dataCentre: string])[] = [];
  /** Addresses of all processes, as the owner sent them to this process as a standby. */
  private processAddresses: readonly string[] = [];
  /** Number of queries so far; determines which process is queried next. */
  private queryCount = 0;
  private lastContactAtMs: number;
  /** Time as of which `pending` is true. */
  private pendingAsOf: Instant;
  /** Pending counts by queue. */
  private pending = new Map<string, number>();
  private reportedOpenJobBytes: number | undefined;
  private isCallingOwner = false;
  private reportedLoopDelayMs = 0;
  private readonly ownerStoreReport = OwnerStoreReport.create();

  private constructor(private readonly options: Options) {
    this.lastContactAtMs = options.clock.monotonicMs();
    this.pendingAsOf = Instant.create(options.clock, Number.POSITIVE_INFINITY);
  }

  /** Adopts a claim that another process sent, if it is newer. */
  adoptNewerClaim(claim: Claim | null): void {
    if (claim !== null && claim.token > (this.claim?.token ?? 0)) this.claim = claim;
  }

  /** Replaces the standbys with those that another process named; an empty list changes nothing. */
  replaceStandbys(standbys: Reply['standbys']): void {
    if (standbys.length > 0) this.standbys = standbys;
  }

  /** Number of processes of the cell, as the owner reported them to this process as a standby; 0 if it did not. */
  knownProcessCount(): number {
    return this.processAddresses.length;
  }

  /** Announces the claim of this process to all processes that its predecessor listed. */
  announceOwner(claim: Claim): void {
    for (const address of this.processAddresses)
      if (address !== this.options.ownAddress)
        void this.options.peers.call(address, 'owner-changed', { claim }, QUERY_TIMEOUT_MS);
  }

  /** The standbys with their data centres, as they were last named. */
  knownStandbys(): Reply['standbys'] {
    return this.standbys;
  }

  /** Returns the newer of the claim in the replica and the claim that other processes sent. */
  newestClaim(): Claim | undefined {
    const replicaClaim = this.options.replicaClaim();
    return (this.claim?.token ?? 0) > (replicaClaim?.token ?? 0) ? this.claim : replicaClaim;
  }

  /** True when other processes sent a newer claim than that in the replica. */
  isAheadOfReplica(): boolean {
    return this.newestClaim() !== this.options.replicaClaim();
  }

  /** Address of the owner when it is another process. */
  ownerAddress(): string | undefined {
    const address = this.newestClaim()?.address;
    return address === this.options.ownAddress ? undefined : address;
  }

  /** Time in ms since another process with a current replica answered. */
  contactAgeMs(): number {
    return this.options.clock.monotonicMs() - this.lastContactAtMs;
  }

  /** Time in ms that an append of the owner takes; undefined when the store does not answer it, or not known. */
  ownerAppendTimeMs(): number | undefined {
    return this.ownerStoreReport.appendTimeMs();
  }

  /** Event-loop delay of the owner in ms, as it last reported it. */
  ownerLoopDelayMs(): number {
    return this.reportedLoopDelayMs;
  }

  /** Pending count of a queue; undefined while no process has sent counts of known age. */
  pendingCountOf(queue: string): ReportedCount | undefined {
    const ageMs = this.pendingAsOf.ageMs();
    if (ageMs === Number.POSITIVE_INFINITY) return undefined;
    return { count: this.pending.get(queue) ?? 0, ageMs };
  }

  /** Memory in bytes of the open jobs, as of the time of the pending counts; undefined when not known. */
  openJobBytes(): number | undefined {
    return this.reportedOpenJobBytes;
  }

  /** Addresses of other processes that hold a replica: those of this data centre first, the owner last. */
  replicaAddresses(): string[] {
    const { ownAddress, dataCentre } = this.options;
    const owner = this.ownerAddress();
    const otherStandbys = this.standbys.filter(
      ([address]) => address !== ownAddress && address !== owner,
    );
    const inOwnDataCentre = otherStandbys.filter(
      ([, standbyDataCentre]) => standbyDataCentre === dataCentre,
    );
    const inOtherDataCentres = otherStandbys.filter(
      ([, standbyDataCentre]) => standbyDataCentre !== dataCentre,
    );
    // The first standby depends on the address of this process, so that processes spread their queries over
    // them.
    const firstIndex =
      inOtherDataCentres.length === 0 ? 0 : hashText(ownAddress) % inOtherDataCentres.length;
    const ordered = [
      ...inOwnDataCentre,
      ...inOtherDataCentres.slice(firstIndex),
      ...inOtherDataCentres.slice(0, firstIndex),
    ];
    return [...ordered.map(([address]) => address), ...(owner === undefined ? [] : [owner])];
  }

  /** Calls the owner. Queries other processes too if the owner is slow, or afterwards if the call fails. */
  async contactOwner(): Promise<void> {
    if (this.isCallingOwner) return;
    this.isCallingOwner = true;
    const cancel = this.options.clock.after(QUERY_DELAY_MS, () => void this.queryReplicas());
    const startedAtMs = this.options.clock.monotonicMs();
    const isAnswered = await this.callOwner();
    cancel();
    this.isCallingOwner = false;
    const hasQueriedReplicas = this.options.clock.monotonicMs() - startedAtMs >= QUERY_DELAY_MS;
    if (!isAnswered && !hasQueriedReplicas) await this.queryReplicas();
  }

  /** Queries the next few of the processes with a replica for the owner and the pending counts. */
  async queryReplicas(): Promise<void> {
    const addresses = this.replicaAddresses();
    const count = Math.min(MAX_QUERIED_PROCESSES, addresses.length);
    const queriedAddresses = Array.from(
      { length: count },
      (_, index) => addresses[(this.queryCount + index) % addresses.length] ?? '',
    );
    this.queryCount += count;
    await Promise.all(
      queriedAddresses.map(async (address) => {
        // Reports 0 cores: a process that cannot reach the owner must not be chosen as the next one.
        const offer = this.createOffer(0);
        const sentAt = Instant.create(this.options.clock);
        const reply = await this.options.peers.call(address, 'offer-help', offer, QUERY_TIMEOUT_MS);
        if (reply.isOk) this.applyReply(address, reply.value, sentAt);
      }),
    );
  }

  /** Calls the owner. True when it answered, or when the newest claim has the address of this process. */
  private async callOwner(): Promise<boolean> {
    const { peers, ownAddress, offeredCores, onOwnerReply, onOwnAddressClaimed } = this.options;
    const claim = this.newestClaim();
    if (claim === undefined) return false;
    if (claim.address === ownAddress) {
      onOwnAddressClaimed(claim);
      return true;
    }
    const offer = this.createOffer(offeredCores());
    const sentAt = Instant.create(this.options.clock);
    const reply = await peers.call(claim.address, 'offer-help', offer, OWNER_CALL_TIMEOUT_MS);
    if (reply.isErr) return false;
    this.applyReply(claim.address, reply.value, sentAt);
    this.options.teamLimits?.applyReply(reply.value, sentAt);
    const { appendTimeMs, storeSilentMs } = reply.value;
    this.ownerStoreReport.record({ appendTimeMs, storeSilentMs }, sentAt);
    this.reportedLoopDelayMs = Math.min(MAX_OWNER_LOOP_DELAY_MS, reply.value.loopDelayMs);
    onOwnerReply(claim, reply.value);
    return true;
  }

  /**
   * Adopts the claim, the standbys and the counts of a reply. The counts were true `pendingAgeMs` before the
   * reply was sent, so that adding the time since the call was sent gives an upper bound of their age.
   */
  private applyReply(address: string, reply: Reply, sentAt: Instant): void {
    this.adoptNewerClaim(reply.claim);
    if (reply.configurationVersion !== undefined)
      this.options.configuration.observeVersion(
        reply.configurationSource ?? address,
        reply.configurationVersion,
      );
    // A process that has not received the newest claim yet names the standbys of a predecessor.
    if ((reply.claim?.token ?? 0) >= (this.newestClaim()?.token ?? 0))
      this.replaceStandbys(reply.standbys);
    if (reply.others.length > 0) this.processAddresses = reply.others;
    if (reply.pending === null) return;
    const { clock } = this.options;
    this.lastContactAtMs = clock.monotonicMs();
    const asOf = Instant.create(clock, wireAge.decode(reply.pendingAgeMs) + sentAt.ageMs());
    // Replies to several queries may arrive out of order; the newest counts are kept.
    if (asOf.ageMs() > this.pendingAsOf.ageMs()) return;
    this.pendingAsOf = asOf;
    this.pending = new Map(reply.pending);
    this.reportedOpenJobBytes = reply.openJobBytes ?? undefined;
  }

  private createOffer(cores: number): Offer {
    const { ownAddress, dataCentre, configuration, teamLimits } = this.options;
    const teamArrivals = teamLimits?.listArrivals() ?? [];
    return {
      address: ownAddress,
      cores,
      dataCentre,
      ...configuration.describeVersion(),
      ...(teamArrivals.length > 0 ? { teamArrivals } : {}),
    };
  }
}

function hashText(text: string): number {
  let value = 0;
  for (const char of text) value = (value * 31 + char.charCodeAt(0)) >>> 0;
  return value;
}
