import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import type { PeerCalls } from './peer-calls.js';

type Claim = NonNullable<PeerCallMap['offer-help']['reply']['claim']>;

interface Options {
  peers: Pick<PeerCalls, 'call'>;
  ownAddress: string;
}

/** Processes that are remembered; a cell has some dozens. */
const MAX_KNOWN = 256;
/** Processes that are asked at a time. */
const ASKED = 2;
/** Time limit of a question in ms. A call takes 2 ms. */
const ASK_MS = 250;

/**
 * Finds the owner through other processes. Load pattern: the store turns away the owner and some other
 * processes together; these do not read who took over, and would refuse their clients until the
 * balancer has moved them.
 */
export class OwnerFinder {
  static create(options: Options): OwnerFinder {
    return new OwnerFinder(options);
  }

  private readonly known = new Set<string>();
  private heard: Claim | undefined;
  private asked = 0;

  private constructor(private readonly options: Options) {}

  /** Remembers the addresses of other processes. */
  heardOf(addresses: readonly string[]): void {
    for (const address of addresses)
      if (address !== this.options.ownAddress && this.known.size < MAX_KNOWN)
        this.known.add(address);
  }

  /** Another process named the claim that it knows. */
  heardClaim(claim: Claim | null): void {
    if (claim !== null && claim.token > (this.heard?.token ?? 0)) this.heard = claim;
  }

  /** The newer one of the claim that the replica shows and the one that others named. */
  newest(claim: Claim | undefined): Claim | undefined {
    return this.heard !== undefined && this.heard.token > (claim?.token ?? 0) ? this.heard : claim;
  }

  /** True when others named a newer claim than the replica shows. */
  isAhead(claim: Claim | undefined): boolean {
    return this.newest(claim) !== claim;
  }

  addresses(): readonly string[] {
    return [...this.known];
  }

  /** Asks some of the known processes, in turn, who owns the cell. */
  async search(): Promise<void> {
    const { peers, ownAddress } = this.options;
    const known = this.addresses();
    const count = Math.min(ASKED, known.length);
    const chosen = Array.from(
      { length: count },
      (_, index) => known[(this.asked + index) % known.length] ?? '',
    );
    this.asked += count;
    // No cores: a process that cannot read the log must not attract the cell.
    const offer = { address: ownAddress, cores: 0 };
    await Promise.all(
      chosen.map(async (address) => {
        const reply = await peers.call(address, 'offer-help', offer, ASK_MS);
        if (reply.isOk) this.heardClaim(reply.value.claim);
      }),
    );
  }
}
