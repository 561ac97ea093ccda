import { JobOutcome } from '@acaciahoist/cell-types/job-outcome';
import type { RemoteOutcome } from '@acaciahoist/cell-front/remote-outcome';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import { AppendOutcome } from '@acaciahoist/cell-log/append-outcome';
import type { PeerCalls } from './peer-calls.js';

interface Options {
  peers: Pick<PeerCalls, 'call'>;
  /** Address of the process that owns the cell as far as is known; undefined for none or oneself. */
  ownerAddress: () => string | undefined;
  /** Other processes that hold a replica, in the order in which to ask them. */
  replicaAddresses: () => readonly string[];
}

/** Time limit of a relayed append in ms: an append at the owner and the way there and back. */
const APPEND_TIMEOUT_MS = 900;
/** Time limit of a question in ms; a job that is not known there takes an answer of the store. */
const QUERY_TIMEOUT_MS = 450;
/** Processes that are asked one after the other. */
const MAX_QUERIED = 3;

/**
 * Reaches the store and the state of the cell through other processes. Load pattern: the store turns
 * some processes away and serves the others, and most processes of a large cell hold no replica.
 */
export class PeerRelay {
  static create(options: Options): PeerRelay {
    return new PeerRelay(options);
  }

  private constructor(private readonly options: Options) {}

  /** Appends a record through the owner. `refused` only when it was certainly not appended. */
  async append(data: Uint8Array): Promise<AppendOutcome> {
    const owner = this.options.ownerAddress();
    if (owner === undefined) return AppendOutcome.refused;
    return this.appendThrough(owner, data);
  }

  /** Appends a record through a process that is not the owner, where there is one. */
  async appendThroughStandby(data: Uint8Array): Promise<AppendOutcome> {
    const owner = this.options.ownerAddress();
    const standby = this.options.replicaAddresses().find((address) => address !== owner);
    return standby === undefined ? AppendOutcome.refused : this.appendThrough(standby, data);
  }

  /** State of a job; undefined when no process with a current replica can be asked. */
  async queryOutcome(job: string): Promise<RemoteOutcome | undefined> {
    for (const address of this.options.replicaAddresses().slice(0, MAX_QUERIED)) {
      const reply = await this.options.peers.call(
        address,
        'relay-outcome',
        { job },
        QUERY_TIMEOUT_MS,
      );
      if (reply.isErr) continue;
      if (reply.value.isAbsent) return { kind: 'absent' };
      const outcome = Object.values(JobOutcome).find((known) => known === reply.value.outcome);
      if (outcome !== undefined) return { kind: 'known', outcome };
    }
    return undefined;
  }

  private async appendThrough(address: string, data: Uint8Array): Promise<AppendOutcome> {
    const reply = await this.options.peers.call(
      address,
      'relay-record',
      { data },
      APPEND_TIMEOUT_MS,
    );
    if (reply.isErr)
      return reply.error.kind === ErrorKind.ownerUnreachable
        ? AppendOutcome.refused
        : AppendOutcome.unknown;
    const { outcome } = reply.value;
    return Object.values(AppendOutcome).find((known) => known === outcome) ?? AppendOutcome.unknown;
  }
}
