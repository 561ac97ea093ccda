import type { Clock } from '@acaciahoist/clock';
import { Instant } from '@acaciahoist/clock/instant';
import type { HeardCount } from '@acaciahoist/cell-front/heard-count';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import type { PeerCalls } from './peer-calls.js';
import { wireAge } from './wire-age.js';

type Offer = PeerCallMap['offer-help']['request'];
type Reply = PeerCallMap['offer-help']['reply'];
type Claim = NonNullable<Reply['claim']>;

interface Options {
  clock: Clock;
  peers: Pick<PeerCalls, 'call'>;
  ownAddress: string;
  dataCentre: string;
  /** The newest claim that the own replica shows; undefined for none. */
  replicaClaim: () => Claim | undefined;
  /** Cores to offer: 0 for a process that could not own the cell now. */
  offeredCores: () => number;
  /** The owner, or who was taken for it, answered. */
  onOwnerReply: (claim: Claim, reply: Reply) => void;
  /** The newest claim names this address, but another life of the process. */
  onReplaced: (claim: Claim) => void;
}

/** Time limit in ms of a call to the owner. A call takes 2 ms. */
const OWNER_CALL_TIMEOUT_MS = 700;
/** Others are asked beside the call when the owner has not answered within this time in ms. */
const SEARCH_DELAY_MS = 200;
/** Larger delays of the owner in ms are not taken at their word. */
const MAX_OWNER_LOOP_DELAY_MS = 100;
/** Time limit in ms of a question to another process. */
const QUERY_TIMEOUT_MS = 250;
/** Processes that are asked at a time. */
const MAX_QUERIED = 2;

/**
 * What a process knows of the others: who owns the cell, who holds a replica, and what they last said.
 * Load pattern: the store turns away the owner and some other processes together; these do not read who
 * took over, and find the owner through the others.
 */
export class PeerTracker {
  static create(options: Options): PeerTracker {
    return new PeerTracker(options);
  }

  private claim: Claim | undefined;
  private standbys: readonly (readonly [address: string, dataCentre: string])[] = [];
  private processAddresses: readonly string[] = [];
  private queryCount = 0;
  private lastContactMs: number;
  private pendingAsOf: Instant;
  private pending = new Map<string, number>();
  private isCalling = false;
  private reportedDelayMs = 0;

  private constructor(private readonly options: Options) {
    this.lastContactMs = options.clock.monotonicMs();
    this.pendingAsOf = Instant.create(options.clock, Number.POSITIVE_INFINITY);
  }

  /** Another process named the claim that it knows. */
  noteClaim(claim: Claim | null): void {
    if (claim !== null && claim.token > (this.claim?.token ?? 0)) this.claim = claim;
  }

  noteStandbys(standbys: Reply['standbys']): void {
    if (standbys.length > 0) this.standbys = standbys;
  }

  /** Tells all processes that the last owner knew of that this one owns the cell now. */
  announceOwner(claim: Claim): void {
    for (const address of this.processAddresses)
      if (address !== this.options.ownAddress)
        void this.options.peers.call(address, 'owner-changed', { claim }, QUERY_TIMEOUT_MS);
  }

  knownStandbys(): Reply['standbys'] {
    return this.standbys;
  }

  /** The newer one of the claim that the replica shows and the one that others named. */
  newestClaim(): Claim | undefined {
    const known = this.options.replicaClaim();
    return (this.claim?.token ?? 0) > (known?.token ?? 0) ? this.claim : known;
  }

  /** True when others named a newer claim than the replica shows. */
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
    return this.options.clock.monotonicMs() - this.lastContactMs;
  }

  /** Delay in ms with which the owner gets to its work, as it last said. */
  ownerLoopDelayMs(): number {
    return this.reportedDelayMs;
  }

  /** Jobs of a queue that wait for their first start; undefined when nobody told with an age. */
  pendingCountOf(queue: string): HeardCount | undefined {
    const ageMs = this.pendingAsOf.ageMs();
    if (ageMs === Number.POSITIVE_INFINITY) return undefined;
    return { count: this.pending.get(queue) ?? 0, ageMs };
  }

  /** Other processes that hold a replica: those of the own data centre first, the owner last. */
  replicaAddresses(): string[] {
    const { ownAddress, dataCentre } = this.options;
    const owner = this.ownerAddress();
    const otherStandbys = this.standbys.filter(
      ([address]) => address !== ownAddress && address !== owner,
    );
    const inOwnDataCentre = otherStandbys.filter(([, where]) => where === dataCentre);
    const inOtherDataCentres = otherStandbys.filter(([, where]) => where !== dataCentre);
    // Each process begins at another one, so that questions are spread over the standbys.
    const firstIndex =
      inOtherDataCentres.length === 0 ? 0 : hashText(ownAddress) % inOtherDataCentres.length;
    const ordered = [
      ...inOwnDataCentre,
      ...inOtherDataCentres.slice(firstIndex),
      ...inOtherDataCentres.slice(0, firstIndex),
    ];
    return [...ordered.map(([address]) => address), ...(owner === undefined ? [] : [owner])];
  }

  /** Calls the owner, or asks others who it is. */
  async contactOwner(): Promise<void> {
    if (this.isCalling) return;
    this.isCalling = true;
    const cancel = this.options.clock.after(SEARCH_DELAY_MS, () => void this.queryReplicas());
    const startedMs = this.options.clock.monotonicMs();
    const isAnswered = await this.callOwner();
    cancel();
    this.isCalling = false;
    const isSearched = this.options.clock.monotonicMs() - startedMs >= SEARCH_DELAY_MS;
    if (!isAnswered && !isSearched) await this.queryReplicas();
  }

  /** Asks some of the known processes, in turn, who owns the cell and for their counts. */
  async queryReplicas(): Promise<void> {
    const addresses = this.replicaAddresses();
    const count = Math.min(MAX_QUERIED, addresses.length);
    const queried = Array.from(
      { length: count },
      (_, index) => addresses[(this.queryCount + index) % addresses.length] ?? '',
    );
    this.queryCount += count;
    await Promise.all(
      queried.map(async (address) => {
        // No cores: a process that cannot reach the owner must not attract the cell.
        const offer = this.createOffer(0);
        const sent = Instant.create(this.options.clock);
        const reply = await this.options.peers.call(address, 'offer-help', offer, QUERY_TIMEOUT_MS);
        if (reply.isOk) this.applyReply(reply.value, sent);
      }),
    );
  }

  /** True when the owner answered, or is this process. */
  private async callOwner(): Promise<boolean> {
    const { peers, ownAddress, offeredCores, onOwnerReply, onReplaced } = this.options;
    const claim = this.newestClaim();
    if (claim === undefined) return false;
    if (claim.address === ownAddress) {
      onReplaced(claim);
      return true;
    }
    const offer = this.createOffer(offeredCores());
    const sent = Instant.create(this.options.clock);
    const reply = await peers.call(claim.address, 'offer-help', offer, OWNER_CALL_TIMEOUT_MS);
    if (reply.isErr) return false;
    this.applyReply(reply.value, sent);
    this.reportedDelayMs = Math.min(MAX_OWNER_LOOP_DELAY_MS, reply.value.loopDelayMs);
    onOwnerReply(claim, reply.value);
    return true;
  }

  /** The counts were true `pendingAgeMs` before the reply was sent, which is not before the question. */
  private applyReply(reply: Reply, sent: Instant): void {
    this.noteClaim(reply.claim);
    // A process that has not heard of the present owner names the standbys of a former one.
    if ((reply.claim?.token ?? 0) >= (this.newestClaim()?.token ?? 0))
      this.noteStandbys(reply.standbys);
    if (reply.others.length > 0) this.processAddresses = reply.others;
    if (reply.pending === null) return;
    const { clock } = this.options;
    this.lastContactMs = clock.monotonicMs();
    const asOf = Instant.create(clock, wireAge.decode(reply.pendingAgeMs) + sent.ageMs());
    // Replies to several questions may overtake each other.
    if (asOf.ageMs() > this.pendingAsOf.ageMs()) return;
    this.pendingAsOf = asOf;
    this.pending = new Map(reply.pending);
  }

  private createOffer(cores: number): Offer {
    const { ownAddress, dataCentre } = this.options;
    return { address: ownAddress, cores, dataCentre };
  }
}

function hashText(text: string): number {
  let value = 0;
  for (const char of text) value = (value * 31 + char.charCodeAt(0)) >>> 0;
  return value;
}
