import type Result from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import type { Failure } from '@acaciahoist/errors';
import type { PeerCallType } from '@acaciahoist/peer-protocol/peer-call-type';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import { PeerLink } from './peer-link.js';

interface Options {
  clock: Clock;
  identity: ProcessIdentity;
  /** Time without a received frame after which a connection is probed. */
  probeMs: number;
  probeTimeoutMs: number;
  connectTimeoutMs: number;
  /** Runs when the address refuses a connection, which shows that no process listens there. */
  onRefused: (address: string) => void;
}

/** Calls other processes over one maintained connection per address. */
export class PeerClient {
  static create(options: Options): PeerClient {
    return new PeerClient(options);
  }

  private readonly links = new Map<string, PeerLink>();
  private isStopped = false;

  private constructor(private readonly options: Options) {}

  /**
   * Calls the peer at the address `ip:port`. Fails with `owner-unreachable` when nothing was sent, which is the
   * case after `stop`, with `outcome-unknown` when the call was sent and not answered within `timeoutMs`, and
   * with the failure that the peer returned.
   */
  call<Type extends PeerCallType>(
    address: string,
    type: Type,
    body: PeerCallMap[Type]['request'],
    timeoutMs: number,
  ): Promise<Result<PeerCallMap[Type]['reply'], Failure>> {
    return this.getLink(address).call(type, body, timeoutMs);
  }

  /** Closes the connection to a peer that left the system. */
  disconnect(address: string): void {
    this.links.get(address)?.stop();
    this.links.delete(address);
  }

  stop(): void {
    this.isStopped = true;
    for (const link of this.links.values()) link.stop();
    this.links.clear();
  }

  describe(): readonly Record<string, unknown>[] {
    return [...this.links.values()].map((link) => link.describe());
  }

  private getLink(address: string): PeerLink {
    const existing = this.links.get(address);
    if (existing !== undefined) return existing;
    const link = PeerLink.create({ ...this.options, address });
    this.links.set(address, link);
    // Nothing would close a connection that is opened after the stop, and the process would not exit.
    if (this.isStopped) link.stop();
    return link;
  }
}
