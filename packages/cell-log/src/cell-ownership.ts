import { createActor, type Actor } from 'xstate';
import type { Clock } from '@acaciahoist/clock';
import { recordCodec } from '@acaciahoist/cell-state/record-codec';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { EventLog } from '@acaciahoist/types/event-log';
import type { CellReplica } from './index.js';
import { ownershipMachine } from './ownership-machine.js';

interface Options {
  clock: Clock;
  store: Pick<LogStore, 'append'>;
  replica: Pick<CellReplica, 'state' | 'contactAgeMs' | 'isLoaded'>;
  log: EventLog;
  topic: string;
  /** Name of this life of the process; unique among all lives. */
  self: string;
  address: string;
  /** Silence of the owner in ms, with the log in reach, after which another process claims. */
  silenceMs: number;
  /** Random additional silence in ms, so that processes do not claim together. */
  jitterMs: number;
  /** Time in ms for which this process leaves a claim that is due to others. */
  deferMs: () => number;
  onOwned: (token: number) => void;
  onLost: (reason: string) => void;
  /** Renewals of the owner have become overdue; it may be asked why. */
  onOverdue: () => void;
}

/** Producer name of all owners; the epoch tells them apart and fences the former ones. */
const OWNER_PRODUCER = 'owner';
const TICK_INTERVAL_MS = 50;
/** Time in ms within which the replica must show a claim that was written. */
const CLAIM_READ_TIMEOUT_MS = 300;
/** Silence in ms after which an owner whose address refuses connections is replaced. */
const UNREACHABLE_OWNER_TIMEOUT_MS = 400;
/** An owner that answered this process within this time in ms lives, though its renewals may be late. */
const CONTACT_VALIDITY_MS = 900;
/** Silence of an owner that lives is borne for this multiple of the usual time: it is slow, not dead. */
const CONTACT_TIMEOUT_FACTOR = 2.5;
/** The owner renews every 250 ms, and followers read every 80 ms. */
const RENEWAL_OVERDUE_MS = 450;
/** A replica that has heard nothing of the log for this long in ms says nothing about a silent owner. */
const MAX_CONTACT_AGE_MS = 800;
/** A tick that is this late means that the process stood still, and its observations are void. */
const MIN_PAUSE_MS = 700;

/** Decides when this process claims the cell, and notices when it loses it. */
export class CellOwnership {
  static readonly producer = OWNER_PRODUCER;

  static create(options: Options): CellOwnership {
    return new CellOwnership(options);
  }

  private readonly machine: Actor<typeof ownershipMachine>;
  private sinceOwnerRecordMs = 0;
  private lastTickMs: number;
  /** Monotonic time since which a claim is due; undefined while it is not. */
  private claimDueSinceMs: number | undefined;
  private ownToken = 0;
  private isOverdue = false;
  private lastOwnerContact: { owner: string; atMs: number } | undefined;
  private suspicion: { owner: string; timeoutMs: number } | undefined;
  private cancelTick: () => void = () => undefined;

  private constructor(private readonly options: Options) {
    this.machine = createActor(ownershipMachine).start();
    this.lastTickMs = options.clock.monotonicMs();
  }

  start(): void {
    this.cancelTick = this.options.clock.after(TICK_INTERVAL_MS, () => {
      this.tick();
      this.start();
    });
  }

  /** Ends the observation of the owner until `start`: this process follows the log no more. */
  rest(): void {
    this.cancelTick();
  }

  stop(): void {
    this.cancelTick();
    this.machine.send({ type: 'STOP' });
  }

  isOwning(): boolean {
    return this.machine.getSnapshot().value === 'owning';
  }

  /** False once renewals of the owner are overdue, and while this process claims. */
  isOwnerAlive(): boolean {
    return (
      this.machine.getSnapshot().value === 'following' &&
      this.sinceOwnerRecordMs < RENEWAL_OVERDUE_MS
    );
  }

  /** Token of the claim in force when this process holds it; 0 otherwise. */
  token(): number {
    return this.isOwning() ? this.ownToken : 0;
  }

  /** To be called for every record of the cell log, after it was applied. */
  observe(record: CellRecord, effective: boolean): void {
    if (record.kind === 'job' || record.kind === 'cancel') return;
    this.sinceOwnerRecordMs = 0;
    // A sign of life clears every doubt but that about a life that is over.
    if (this.suspicion !== undefined && this.suspicion.timeoutMs > 0) this.suspicion = undefined;
    if (record.kind === 'claim' && effective) this.observeClaim(record.owner);
  }

  /** The owner answered this process, and reaches the store. */
  vouch(owner: string): void {
    this.lastOwnerContact = { owner, atMs: this.options.clock.monotonicMs() };
  }

  /**
   * Shortens the wait for a silent owner. `replaced`: another life answers at its address, so it is gone
   * for certain. `refused`: nobody listens there, or a firewall refuses in its place. `turned-away`: the
   * owner itself says that the store does not answer it.
   */
  suspect(owner: string, reason: 'replaced' | 'refused' | 'turned-away'): void {
    const timeoutMs = reason === 'replaced' ? 0 : UNREACHABLE_OWNER_TIMEOUT_MS;
    if (this.suspicion?.owner === owner && this.suspicion.timeoutMs <= timeoutMs) return;
    this.suspicion = { owner, timeoutMs };
    this.options.log('info', 'owner-suspected', { owner, reason });
  }

  /** The store or a worker refused this owner for a newer one. */
  fenced(by: string): void {
    if (!this.isOwning()) return;
    this.machine.send({ type: 'FENCED' });
    this.options.onLost(by);
  }

  private observeClaim(owner: string): void {
    const { self, replica } = this.options;
    const token = replica.state.claim?.token ?? 0;
    if (owner !== self) {
      this.fenced('claim');
      this.machine.send({ type: 'REJECTED' });
      return;
    }
    if (this.machine.getSnapshot().value === 'stopped') return;
    this.ownToken = token;
    this.machine.send({ type: 'CLAIMED' });
    this.options.onOwned(token);
  }

  private tick(): void {
    const { clock, replica, silenceMs, jitterMs, deferMs } = this.options;
    const nowMs = clock.monotonicMs();
    const elapsedMs = nowMs - this.lastTickMs;
    this.lastTickMs = nowMs;
    if (
      elapsedMs > MIN_PAUSE_MS ||
      !replica.isLoaded ||
      replica.contactAgeMs() > MAX_CONTACT_AGE_MS
    ) {
      // After a stall or an outage the owner gets time to show itself.
      this.sinceOwnerRecordMs = Math.min(this.sinceOwnerRecordMs, silenceMs / 2);
      return;
    }
    this.sinceOwnerRecordMs += elapsedMs;
    const isOverdue = this.sinceOwnerRecordMs >= RENEWAL_OVERDUE_MS;
    if (isOverdue && !this.isOverdue) this.options.onOverdue();
    this.isOverdue = isOverdue;
    if (this.machine.getSnapshot().value !== 'following') return;
    const { claim } = replica.state;
    const suspicionTimeoutMs =
      this.suspicion?.owner === claim?.owner ? this.suspicion?.timeoutMs : undefined;
    const hasRecentContact =
      this.lastOwnerContact?.owner === claim?.owner &&
      nowMs - (this.lastOwnerContact?.atMs ?? 0) < CONTACT_VALIDITY_MS;
    const defaultTimeoutMs = hasRecentContact ? silenceMs * CONTACT_TIMEOUT_FACTOR : silenceMs;
    const timeoutMs =
      claim === undefined || claim.released ? 0 : (suspicionTimeoutMs ?? defaultTimeoutMs);
    if (this.sinceOwnerRecordMs < timeoutMs + jitterMs) {
      this.claimDueSinceMs = undefined;
      return;
    }
    this.claimDueSinceMs ??= nowMs;
    if (nowMs - this.claimDueSinceMs >= deferMs()) void this.claim();
  }

  /**
   * Claims through the epoch of the owners' producer: the store refuses the former owner from then on,
   * and of several claims with the same token only one is written. The replica shows which one.
   */
  private async claim(): Promise<void> {
    const { store, replica, topic, self, address, log, clock } = this.options;
    this.machine.send({ type: 'CLAIM' });
    const { claim, nextOffset } = replica.state;
    const token = claim === undefined ? nextOffset + 1 : claim.token + 1;
    log('info', 'claim-sent', {
      token,
      former: claim?.owner ?? null,
      silentMs: Math.round(this.sinceOwnerRecordMs),
      replicaAgeMs: Math.round(replica.contactAgeMs()),
    });
    this.sinceOwnerRecordMs = 0;
    this.claimDueSinceMs = undefined;
    const wallMs = clock.wallMs();
    const record = recordCodec.encode({ kind: 'claim', owner: self, address, token, wallMs });
    const producer = { name: OWNER_PRODUCER, epoch: token, sequence: 0 };
    const result = await store.append({ topic, records: [record], producer });
    // A claim of unknown result takes effect when the replica reads it.
    if (result.kind !== 'appended') log('info', 'claim-not-won', { token, result: result.kind });
    clock.after(result.kind === 'appended' ? CLAIM_READ_TIMEOUT_MS : 0, () => {
      this.machine.send({ type: 'REJECTED' });
    });
  }
}
