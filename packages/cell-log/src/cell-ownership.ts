import { createActor, type Actor } from 'xstate';
import type { Clock } from '@acaciahoist/clock';
import { Instant } from '@acaciahoist/clock/instant';
import { recordCodec } from '@acaciahoist/cell-state/record-codec';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { EventLog } from '@acaciahoist/types/event-log';
import type { CellReplica } from './cell-replica.js';
import { ownershipMachine } from './ownership-machine.js';

interface Options {
  clock: Clock;
  store: Pick<LogStore, 'append'>;
  replica: Pick<CellReplica, 'state' | 'contactAgeMs' | 'isLoaded'>;
  log: EventLog;
  topic: string;
  /** Name of this incarnation of the process; unique among all incarnations of all processes. */
  incarnationName: string;
  address: string;
  /**
   * Time in ms without a record of the owner, while the log is reachable, after which another
   * process claims the cell.
   */
  ownerTimeoutMs: number;
  /** Random addition to the timeout in ms, so that processes do not claim at the same time. */
  jitterMs: number;
  /** Time in ms for which this process defers a claim that is due, in favour of other processes. */
  deferMs: () => number;
  /** This process owns the cell from now on, under this token. No claim with it was sent before `claimSentAt`. */
  onOwned: (token: number, claimSentAt: Instant) => void;
  /** This process no longer owns the cell. */
  onLost: (reason: string) => void;
  /** The renewals of the owner have become overdue; the callee may ask the owner why. */
  onRenewalsOverdue: () => void;
}

/** Producer name of all owners; the epoch distinguishes them and fences predecessors. */
const OWNER_PRODUCER = 'owner';
const TICK_INTERVAL_MS = 50;
/**
 * Time in ms within which the replica must read a claim that the store has appended; otherwise this
 * process returns to following.
 */
const CLAIM_READ_TIMEOUT_MS = 300;
/**
 * Owner timeout in ms for an owner whose address refuses connections or whose calls the store
 * refuses.
 */
const SUSPECTED_OWNER_TIMEOUT_MS = 400;
/**
 * Time in ms for which a reply of the owner to this process shows that the owner runs, even if its
 * renewals are late.
 */
const CONTACT_VALIDITY_MS = 900;
/**
 * An owner that answered recently is slow, not dead: its timeout is this multiple of the usual one.
 */
const CONTACT_TIMEOUT_FACTOR = 2.5;
/**
 * Time in ms without a record of the owner after which its renewals are overdue. The owner renews
 * every 250 ms, and followers read every 80 ms.
 */
const OVERDUE_MS = 450;
/**
 * When the last contact with the log is older than this in ms, the replica does not show whether
 * the owner still writes records.
 */
const MAX_CONTACT_AGE_MS = 800;
/**
 * A longer time in ms between two ticks shows that the process was paused and observed nothing
 * meanwhile.
 */
const MIN_PAUSE_MS = 700;

/** Decides when this process claims the cell, and detects when it loses the ownership. */
export class CellOwnership {
  /** Name of the producer under which an owner appends to the cell log. */
  static readonly producer = OWNER_PRODUCER;

  static create(options: Options): CellOwnership {
    return new CellOwnership(options);
  }

  private readonly machine: Actor<typeof ownershipMachine>;
  /**
   * Time in ms since the last record of the owner, not counting times without a current replica.
   */
  private ownerRecordAgeMs = 0;
  private lastTickAtMs: number;
  /** Monotonic time since which a claim is due; undefined while none is due. */
  private claimDueSinceMs: number | undefined;
  private ownToken = 0;
  /** Newest token that this process has sent in a claim, and the time of its first claim with it. */
  private sentClaim: { token: number; sentAt: Instant } | undefined;
  private areRenewalsOverdue = false;
  private lastOwnerContact: { owner: string; atMs: number } | undefined;
  /** The owner whose timeout is shortened, and its timeout. */
  private suspicion: { owner: string; timeoutMs: number } | undefined;
  private cancelTick: () => void = () => undefined;

  private constructor(private readonly options: Options) {
    this.machine = createActor(ownershipMachine).start();
    this.lastTickAtMs = options.clock.monotonicMs();
  }

  start(): void {
    this.cancelTick = this.options.clock.after(TICK_INTERVAL_MS, () => {
      this.tick();
      this.start();
    });
  }

  /** Stops observing the owner until `start`; for a process that no longer follows the log. */
  pause(): void {
    this.cancelTick();
  }

  stop(): void {
    this.cancelTick();
    this.machine.send({ type: 'STOP' });
  }

  isOwning(): boolean {
    return this.machine.getSnapshot().value === 'owning';
  }

  /**
   * True while this process neither claims nor owns the cell and the newest record of the owner is
   * not overdue.
   */
  isOwnerAlive(): boolean {
    return this.machine.getSnapshot().value === 'following' && this.ownerRecordAgeMs < OVERDUE_MS;
  }

  /** Token of the claim in force if this process holds it; 0 otherwise. */
  token(): number {
    return this.isOwning() ? this.ownToken : 0;
  }

  /** Must be called for every record of the cell log, after it was applied. */
  observe(record: CellRecord, isEffective: boolean): void {
    if (record.kind === 'job' || record.kind === 'cancel') return;
    this.ownerRecordAgeMs = 0;
    // A record of the owner removes any suspicion except that its incarnation has ended.
    if (this.suspicion !== undefined && this.suspicion.timeoutMs > 0) this.suspicion = undefined;
    if (record.kind === 'claim' && isEffective) this.observeClaim(record.owner);
  }

  /** Records that the owner answered this process and that the store answers the owner. */
  recordOwnerContact(owner: string): void {
    this.lastOwnerContact = { owner, atMs: this.options.clock.monotonicMs() };
  }

  /**
   * Shortens the timeout of an owner. `replaced`: another incarnation answers at its address, so
   * that the owner has certainly ended. `refused`: no process listens at its address, or a firewall
   * refuses the connection on its behalf. `rejected-by-store`: the owner reports that the store
   * does not answer it, while the store answers this process.
   */
  suspect(owner: string, reason: 'replaced' | 'refused' | 'rejected-by-store'): void {
    const timeoutMs = reason === 'replaced' ? 0 : SUSPECTED_OWNER_TIMEOUT_MS;
    if (this.suspicion?.owner === owner && this.suspicion.timeoutMs <= timeoutMs) return;
    this.suspicion = { owner, timeoutMs };
    this.options.log('info', 'owner-suspected', { owner, reason });
  }

  /**
   * Ends the ownership of this process, for example when the store or a worker has received the
   * higher token of a newer owner.
   */
  endOwnership(reason: string): void {
    if (!this.isOwning()) return;
    this.machine.send({ type: 'FENCED' });
    this.options.onLost(reason);
  }

  private observeClaim(owner: string): void {
    const { incarnationName, replica } = this.options;
    const token = replica.state.claim?.token ?? 0;
    if (owner !== incarnationName) {
      this.endOwnership('claimed by another process');
      this.machine.send({ type: 'REJECTED' });
      return;
    }
    if (this.machine.getSnapshot().value === 'stopped') return;
    this.ownToken = token;
    this.machine.send({ type: 'CLAIMED' });
    const { sentClaim } = this;
    const sentAt =
      sentClaim?.token === token
        ? sentClaim.sentAt
        : Instant.create(this.options.clock, Number.POSITIVE_INFINITY);
    this.options.onOwned(token, sentAt);
  }

  /** Updates the age of the newest record of the owner, and claims the cell once a claim is due. */
  private tick(): void {
    const { clock, replica, ownerTimeoutMs, jitterMs, deferMs } = this.options;
    const nowMs = clock.monotonicMs();
    const elapsedMs = nowMs - this.lastTickAtMs;
    this.lastTickAtMs = nowMs;
    if (
      elapsedMs > MIN_PAUSE_MS ||
      !replica.isLoaded ||
      replica.contactAgeMs() > MAX_CONTACT_AGE_MS
    ) {
      // After a pause or an outage the owner gets half of its timeout to write a record.
      this.ownerRecordAgeMs = Math.min(this.ownerRecordAgeMs, ownerTimeoutMs / 2);
      return;
    }
    this.ownerRecordAgeMs += elapsedMs;
    const areOverdue = this.ownerRecordAgeMs >= OVERDUE_MS;
    if (areOverdue && !this.areRenewalsOverdue) this.options.onRenewalsOverdue();
    this.areRenewalsOverdue = areOverdue;
    if (this.machine.getSnapshot().value !== 'following') return;
    const { claim } = replica.state;
    const suspicionTimeoutMs =
      this.suspicion?.owner === claim?.owner ? this.suspicion?.timeoutMs : undefined;
    const hasRecentContact =
      this.lastOwnerContact?.owner === claim?.owner &&
      nowMs - (this.lastOwnerContact?.atMs ?? 0) < CONTACT_VALIDITY_MS;
    const defaultTimeoutMs = hasRecentContact
      ? ownerTimeoutMs * CONTACT_TIMEOUT_FACTOR
      : ownerTimeoutMs;
    const timeoutMs =
      claim === undefined || claim.released ? 0 : (suspicionTimeoutMs ?? defaultTimeoutMs);
    if (this.ownerRecordAgeMs < timeoutMs + jitterMs) {
      this.claimDueSinceMs = undefined;
      return;
    }
    this.claimDueSinceMs ??= nowMs;
    if (nowMs - this.claimDueSinceMs >= deferMs()) void this.claim();
  }

  /**
   * Claims the cell. The new token is also the epoch of the owners' producer: from then on the
   * store fences appends of the predecessor, and of several claims with the same token it appends
   * only one. Each process reads from the log which one that is.
   */
  private async claim(): Promise<void> {
    const { store, replica, topic, incarnationName, address, log, clock } = this.options;
    this.machine.send({ type: 'CLAIM' });
    const { claim, nextOffset } = replica.state;
    const token = claim === undefined ? nextOffset + 1 : claim.token + 1;
    log('info', 'claim-sent', {
      token,
      former: claim?.owner ?? null,
      silentMs: Math.round(this.ownerRecordAgeMs),
      replicaAgeMs: Math.round(replica.contactAgeMs()),
    });
    this.ownerRecordAgeMs = 0;
    this.claimDueSinceMs = undefined;
    // An earlier claim with the same token may still reach the log.
    if (this.sentClaim?.token !== token) this.sentClaim = { token, sentAt: Instant.create(clock) };
    const wallMs = clock.wallMs();
    const record = recordCodec.encode({
      kind: 'claim',
      owner: incarnationName,
      address,
      token,
      wallMs,
      recordsLeaseEnds: true,
      knowsCopies: replica.state.copies.isComplete,
    });
    const producer = { name: OWNER_PRODUCER, epoch: token, sequence: 0 };
    const result = await store.append({ topic, records: [record], producer });
    // A claim of unknown result takes effect when the replica reads it.
    if (result.kind !== 'appended') log('info', 'claim-not-won', { token, result: result.kind });
    clock.after(result.kind === 'appended' ? CLAIM_READ_TIMEOUT_MS : 0, () => {
      this.machine.send({ type: 'REJECTED' });
    });
  }
}
