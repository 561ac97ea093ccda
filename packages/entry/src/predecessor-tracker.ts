import type Result from 'true-myth/result';
import type { Failure } from '@acaciahoist/errors';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import type { EntryContext } from './entry-context.js';
import type { OwnedPartition } from './owned-partition.js';

const CALL_TIMEOUT_MS = 1_000;
/** Covers the difference of clock rates; the same factor as in the package `ownership`. */
const CLOCK_RATE_FACTOR = 1.02;

interface Predecessor {
  token: number;
  holder: ProcessIdentity;
}

interface Options {
  context: EntryContext;
  partition: string;
  /** Former owners that did not release the partition, by the journal. */
  listUnreleased: () => readonly Predecessor[];
  callPeer: (
    address: string,
    type: 'fence-slots',
    body: PeerCallMap['fence-slots']['request'],
    deadlineMs: number,
  ) => Promise<Result<PeerCallMap['fence-slots']['reply'], Failure>>;
}

/**
 * Former owners of one partition that may still act under their hold time. One is out of the question
 * when it answered that it stopped, when its process is known to have ended, or when its hold time,
 * counted from when this process read the claim that followed, is over.
 */
export class PredecessorTracker {
  static create(options: Options): PredecessorTracker {
    return new PredecessorTracker(options);
  }

  private readonly firstSeenMsByToken = new Map<number, number>();
  private readonly stoppedTokens = new Set<number>();

  private constructor(private readonly options: Options) {}

  /** Notes former owners that the journal shows. Called regularly, as the hold time counts from here. */
  recordFirstSeen(): void {
    const nowMs = this.options.context.clock.monotonicMs();
    for (const { token } of this.options.listUnreleased()) {
      if (!this.firstSeenMsByToken.has(token)) this.firstSeenMsByToken.set(token, nowMs);
    }
  }

  /** Time from which no former owner can act any more, by what is known now. */
  findLatestEndMs(): number {
    return Math.max(
      0,
      ...this.options.listUnreleased().map((predecessor) => this.findEndMs(predecessor)),
    );
  }

  /** Fences the slots at all peers and asks the former owners until each is out of the question. */
  async fenceUntilStopped(owned: OwnedPartition, isStillOwned: () => boolean): Promise<void> {
    const { clock, membership, log } = this.options.context;
    const active = this.listActive();
    const activeAddresses = new Set(active.map(({ holder }) => holder.process));
    const others = membership.listLivePeers().filter((peer) => !activeAddresses.has(peer.address));
    await Promise.all(others.map((peer) => this.fencePeer(peer.address, owned)));
    while (isStillOwned()) {
      await Promise.all(
        this.listActive().map((predecessor) => this.fencePredecessor(predecessor, owned)),
      );
      if (this.listActive().length === 0) break;
      await new Promise<void>((resolve) => clock.after(CALL_TIMEOUT_MS, resolve));
    }
    if (!isStillOwned()) return;
    // Grants that a process which ended had made to itself run out by their deadlines.
    owned.slotPool.formerOwnerExited(this.findLatestEndMs());
    if (active.length > 0)
      log('info', 'former-owners-settled', { partition: this.options.partition });
  }

  private listActive(): readonly Predecessor[] {
    const nowMs = this.options.context.clock.monotonicMs();
    return this.options.listUnreleased().filter((predecessor) => {
      const isStopped =
        this.stoppedTokens.has(predecessor.token) ||
        this.hasExited(predecessor) ||
        this.findHoldEndMs(predecessor) <= nowMs;
      return !isStopped;
    });
  }

  /** A proven exit counts from when it was seen, which may be long before the claim. */
  private findEndMs(predecessor: Predecessor): number {
    const { clock } = this.options.context;
    if (this.stoppedTokens.has(predecessor.token)) return 0;
    const exitMs = this.findExitMs(predecessor);
    if (exitMs !== undefined) return exitMs;
    return this.hasExited(predecessor) ? clock.monotonicMs() : this.findHoldEndMs(predecessor);
  }

  private findExitMs({ holder }: Predecessor): number | undefined {
    const { settings, membership } = this.options.context;
    if (!settings.refusalProvesExit) return undefined;
    return membership.findExit(holder.process, holder.incarnation);
  }

  private findHoldEndMs({ token }: Predecessor): number {
    const { settings, clock } = this.options.context;
    return (
      (this.firstSeenMsByToken.get(token) ?? clock.monotonicMs()) +
      settings.holdMs * CLOCK_RATE_FACTOR
    );
  }

  private hasExited({ token, holder }: Predecessor): boolean {
    const { settings, identity, membership } = this.options.context;
    // A process has its address to itself, so an earlier run at the own address has ended, and the own
    // run knows that it does not act for an older token.
    if (holder.process === identity.process) return true;
    if (!settings.refusalProvesExit) return false;
    if (membership.hasExited(holder.process, holder.incarnation)) return true;
    return membership.hasRefusedSince(
      holder.process,
      this.firstSeenMsByToken.get(token) ?? Infinity,
    );
  }

  private async fencePredecessor(predecessor: Predecessor, owned: OwnedPartition): Promise<void> {
    const reply = await this.sendFence(predecessor.holder.process, owned);
    if (reply.isErr) return;
    // Another run answers at the address, and only one process can listen there.
    const isReplaced = reply.value.incarnation !== predecessor.holder.incarnation;
    if (isReplaced || reply.value.stopped) this.stoppedTokens.add(predecessor.token);
    owned.slotPool.adopt(reply.value.grants);
  }

  private async fencePeer(address: string, owned: OwnedPartition): Promise<void> {
    const reply = await this.sendFence(address, owned);
    if (reply.isOk) owned.slotPool.adopt(reply.value.grants);
  }

  private sendFence(address: string, owned: OwnedPartition): ReturnType<Options['callPeer']> {
    const body = { partition: this.options.partition, token: owned.token };
    return this.options.callPeer(address, 'fence-slots', body, CALL_TIMEOUT_MS);
  }
}
