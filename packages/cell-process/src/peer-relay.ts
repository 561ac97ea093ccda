import { CellJobState } from '@acaciahoist/cell-types/cell-job-state';
import type { RemoteJobState } from '@acaciahoist/cell-front/remote-job-state';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import { AppendOutcome } from '@acaciahoist/cell-log/append-outcome';
import type { PeerCalls } from './peer-calls.js';

interface Options {
  peers: Pick<PeerCalls, 'call'>;
  /** Address of the last known owner; undefined when there is none or it is this process. */
  ownerAddress: () => string | undefined;
  /** Addresses of other processes that hold a replica, in the order in which to query them. */
  replicaAddresses: () => readonly string[];
}

/**
 * Timeout of a relayed append in ms, which includes the append by the other process: a slow store takes up to 2.3 s.
 * Another route is tried before that, unless the owner reports that its appends are slow.
 */
const APPEND_TIMEOUT_MS = 2_500;
/**
 * Timeout of a query in ms; a process whose replica lacks the job reads the end of the log before it
 * answers.
 */
const QUERY_TIMEOUT_MS = 450;
/** Maximum number of processes that are queried one after the other for one job. */
const MAX_QUERIED_PROCESSES = 3;

/**
 * Appends records and reads the state of jobs through other processes. It is needed when the store refuses
 * the calls of some processes and serves others, and in a large cell, most of whose processes hold no
 * replica.
 */
export class PeerRelay {
  static create(options: Options): PeerRelay {
    return new PeerRelay(options);
  }

  private constructor(private readonly options: Options) {}

  /**
   * Appends a record through the owner. The outcome is `refused` only if the record was certainly not
   * appended.
   */
  async append(data: Uint8Array): Promise<AppendOutcome> {
    const owner = this.options.ownerAddress();
    if (owner === undefined) return AppendOutcome.refused;
    return this.appendThrough(owner, data);
  }

  /** Appends a record through a standby; `refused` if none is known. */
  async appendThroughStandby(data: Uint8Array): Promise<AppendOutcome> {
    const owner = this.options.ownerAddress();
    const standby = this.options.replicaAddresses().find((address) => address !== owner);
    return standby === undefined ? AppendOutcome.refused : this.appendThrough(standby, data);
  }

  /** Queries the state of a job; undefined when no process with a current replica answers. */
  async queryJobState(job: string): Promise<RemoteJobState | undefined> {
    for (const address of this.options.replicaAddresses().slice(0, MAX_QUERIED_PROCESSES)) {
      const reply = await this.options.peers.call(
        address,
        'relay-outcome',
        { job },
        QUERY_TIMEOUT_MS,
      );
      if (reply.isErr) continue;
      if (reply.value.isAbsent) return { kind: 'absent' };
      const state = Object.values(CellJobState).find((value) => value === reply.value.outcome);
      if (state !== undefined) return { kind: 'known', state };
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
    return Object.values(AppendOutcome).find((value) => value === outcome) ?? AppendOutcome.unknown;
  }
}
