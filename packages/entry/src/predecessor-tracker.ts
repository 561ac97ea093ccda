import type Result from 'true-myth/result';
import type { Failure } from '@acaciahoist/errors';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import type { EntryContext } from './entry-context.js';
import type { OwnedPartition } from './owned-partition.js';

/** Timeout of a fence call, and the delay before the next one. */
const CALL_TIMEOUT_MS = 1_000;
/** Allows for clocks that run at different rates; the same factor as in the package `ownership`. */
const DRIFT_FACTOR = 1.02;

interface Predecessor {
  token: number;
  holder: ProcessIdentity;
}

interface Options {
  context: EntryContext;
  partition: string;
  /** Lists the predecessors that did not release the partition, according to the journal. */
  listUnreleased: () => readonly Predecessor[];
  callPeer: (
    address: string,
    type: 'fence-slots',
    body: PeerCallMap['fence-slots']['request'],
    deadlineMs: number,
  ) => Promise<Result<PeerCallMap['fence-slots']['reply'], Failure>>;
}

/**
 * Tracks the predecessors of an owner that may still act within their hold time. A predecessor has stopped
 * when it has replied that it stopped, when its process is known to have exited, or when its hold time is over, counted
 * from when this process read the claim that followed.
 */
export class PredecessorTracker {
  static create(options: Options): PredecessorTracker {
    return new PredecessorTracker(options);
  }

  /** Monotonic time by token at which this process first saw the predecessor as unreleased. */
  private readonly firstSeenAtMs = new Map<number, number>();
  /** Tokens of predecessors that replied that they stopped, or whose process was replaced by another one. */
  private readonly stoppedTokens = new Set<number>();

  private constructor(private readonly options: Options) {}

  /** Records when the journal first shows a predecessor. Called regularly, as its hold time starts then. */
  recordFirstSeen(): void {
    const nowMs = this.options.context.clock.monotonicMs();
    for (const { token } of this.options.listUnreleased()) {
      if (!this.firstSeenAtMs.has(token)) this.firstSeenAtMs.set(token, nowMs);
    }
  }

  /** Returns the time from which no predecessor can act, by the exits and replies received so far. */
  findLatestEndAtMs(): number {
    return Math.max(
      0,
      ...this.options.listUnreleased().map((predecessor) => this.findEndAtMs(predecessor)),
    );
  }

  /**
   * Fences the slots at all live peers, and repeatedly at the predecessors until each has stopped. Adopts
   * the grants that they report.
   */
  async fenceUntilStopped(
    ownedPartition: OwnedPartition,
    isStillOwned: () => boolean,
  ): Promise<void> {
    const { clock, membership, log } = this.options.context;
    const activePredecessors = this.listActive();
    const activeAddresses = new Set(activePredecessors.map(({ holder }) => holder.process));
    const otherPeers = membership
      .listLivePeers()
      .filter((peer) => !activeAddresses.has(peer.address));
    await Promise.all(otherPeers.map((peer) => this.fencePeer(peer.address, ownedPartition)));
    while (isStillOwned()) {
      await Promise.all(
        this.listActive().map((predecessor) => this.fencePredecessor(predecessor, ownedPartition)),
      );
      if (this.listActive().length === 0) break;
      await new Promise<void>((resolve) => clock.after(CALL_TIMEOUT_MS, resolve));
    }
    if (!isStillOwned()) return;
    // A process that has exited reports no grants that it made to itself; they expire at their deadlines.
    ownedPartition.slotPool.markPredecessorsExited(this.findLatestEndAtMs());
    if (activePredecessors.length > 0)
      log('info', 'predecessors-stopped', { partition: this.options.partition });
  }

  private listActive(): readonly Predecessor[] {
    const nowMs = this.options.context.clock.monotonicMs();
    return this.options.listUnreleased().filter((predecessor) => {
      const isStopped =
        this.stoppedTokens.has(predecessor.token) ||
        this.hasExited(predecessor) ||
        this.findHoldUntilMs(predecessor) <= nowMs;
      return !isStopped;
    });
  }

  /**
   * Returns the time from which a predecessor can no longer act; 0 when it has replied that it stopped. A
   * proven exit counts from when it was observed, which may be long before the claim.
   */
  private findEndAtMs(predecessor: Predecessor): number {
    const { clock } = this.options.context;
    if (this.stoppedTokens.has(predecessor.token)) return 0;
    const exitedAtMs = this.findExitedAtMs(predecessor);
    if (exitedAtMs !== undefined) return exitedAtMs;
    return this.hasExited(predecessor) ? clock.monotonicMs() : this.findHoldUntilMs(predecessor);
  }

  private findExitedAtMs({ holder }: Predecessor): number | undefined {
    const { settings, membership } = this.options.context;
    if (!settings.refusalProvesExit) return undefined;
    return membership.findExitedAtMs(holder.process, holder.incarnation);
  }

  private findHoldUntilMs({ token }: Predecessor): number {
    const { settings, clock } = this.options.context;
    return (this.firstSeenAtMs.get(token) ?? clock.monotonicMs()) + settings.holdMs * DRIFT_FACTOR;
  }

  private hasExited({ token, holder }: Predecessor): boolean {
    const { settings, identity, membership } = this.options.context;
    // Only one process can listen at an address. An earlier incarnation at this process's address has
    // therefore exited, and this incarnation does not act under an older token.
    if (holder.process === identity.process) return true;
    if (!settings.refusalProvesExit) return false;
    if (membership.hasExited(holder.process, holder.incarnation)) return true;
    return membership.hasRefusedSince(holder.process, this.firstSeenAtMs.get(token) ?? Infinity);
  }

  private async fencePredecessor(
    predecessor: Predecessor,
    ownedPartition: OwnedPartition,
  ): Promise<void> {
    const reply = await this.sendFence(predecessor.holder.process, ownedPartition);
    if (reply.isErr) return;
    // Only one process can listen at an address, so another incarnation proves that the predecessor has exited.
    const isReplaced = reply.value.incarnation !== predecessor.holder.incarnation;
    if (isReplaced || reply.value.stopped) this.stoppedTokens.add(predecessor.token);
    ownedPartition.slotPool.adopt(reply.value.grants);
  }

  private async fencePeer(address: string, ownedPartition: OwnedPartition): Promise<void> {
    const reply = await this.sendFence(address, ownedPartition);
    if (reply.isOk) ownedPartition.slotPool.adopt(reply.value.grants);
  }

  private sendFence(
    address: string,
    ownedPartition: OwnedPartition,
  ): ReturnType<Options['callPeer']> {
    const body = { partition: this.options.partition, token: ownedPartition.token };
    return this.options.callPeer(address, 'fence-slots', body, CALL_TIMEOUT_MS);
  }
}
