import type { JobOutcome } from '@acaciahoist/cell-types/job-outcome';
import { JobOutcome as outcomes } from '@acaciahoist/cell-types/job-outcome';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import { AppendOutcome } from '@acaciahoist/cell-log/append-outcome';
import type { PeerCalls } from './peer-calls.js';

interface Options {
  peers: Pick<PeerCalls, 'call'>;
  /** Address of the process that owns the cell as far as is known; undefined for none or oneself. */
  ownerAddress: () => string | undefined;
}

/** Time limit of a relayed call in ms: an append at the owner and the way there and back. */
const RELAY_MS = 900;

/**
 * Reaches the store through the owner. Load pattern: the store turns some processes away and serves the
 * others; until the balancer has moved their clients, those processes can still serve them this way.
 */
export class Relay {
  static create(options: Options): Relay {
    return new Relay(options);
  }

  private constructor(private readonly options: Options) {}

  /** Appends a record. `refused` only when it was certainly not appended. */
  async append(data: Uint8Array): Promise<AppendOutcome> {
    const address = this.options.ownerAddress();
    if (address === undefined) return AppendOutcome.refused;
    const reply = await this.options.peers.call(address, 'relay-record', { data }, RELAY_MS);
    if (reply.isErr)
      return reply.error.kind === ErrorKind.ownerUnreachable
        ? AppendOutcome.refused
        : AppendOutcome.unknown;
    const { outcome } = reply.value;
    return Object.values(AppendOutcome).find((known) => known === outcome) ?? AppendOutcome.unknown;
  }

  /** State of a job; undefined when the owner does not know the job or cannot be asked. */
  async outcomeOf(job: string): Promise<JobOutcome | undefined> {
    const address = this.options.ownerAddress();
    if (address === undefined) return undefined;
    const reply = await this.options.peers.call(address, 'relay-outcome', { job }, RELAY_MS);
    if (reply.isErr) return undefined;
    const { outcome } = reply.value;
    return Object.values(outcomes).find((known) => known === outcome);
  }
}
