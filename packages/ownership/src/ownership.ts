import { createActor } from 'xstate';
import { err, ok, type Result } from 'true-myth/result';
import type { Instant } from '@acaciahoist/clock/instant';
import { Failure } from '@acaciahoist/errors';
import { GroupCommit } from '@acaciahoist/group-commit';
import { Journal } from '@acaciahoist/journal';
import { describeJournal } from '@acaciahoist/journal/describe-journal';
import type { JournalState } from '@acaciahoist/journal/journal-state';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import type { Offset } from '@acaciahoist/types/offset';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import { Authority } from './authority.js';
import { ClaimAttempt } from './claim-attempt.js';
import { StreamFollower } from './stream-follower.js';
import { JournalReader } from './journal-reader.js';
import { Lease } from './lease.js';
import { ownershipMachine } from './ownership-machine.js';
import type { OwnershipOptions } from './ownership-options.js';
import { SnapshotSchedule } from './snapshot-schedule.js';

type MachineEvent = Parameters<ReturnType<typeof createActor<typeof ownershipMachine>>['send']>[0];

/** Shortest delay of the timer for due work, which is the resolution of Node's timers. */
const MIN_TIMER_MS = 1;

const AUTHORITY_BY_STATUS: Readonly<Record<string, Authority>> = {
  leased: Authority.leased,
  holding: Authority.holding,
};

/**
 * Ownership of one partition by one process: follows its stream, claims it, renews the lease, commits
 * entries and releases the partition.
 */
export class Ownership {
  static create(options: OwnershipOptions): Ownership {
    return new Ownership(options);
  }

  private readonly actor = createActor(ownershipMachine);
  private readonly journal: Journal;
  private readonly reader: JournalReader;
  private readonly follower: StreamFollower;
  private readonly lease: Lease;
  private readonly snapshotSchedule: SnapshotSchedule;
  private readonly listeners = new Set<(authority: Authority) => void>();
  private status = 'idle';
  private groupCommit: GroupCommit | undefined;
  private ownToken: Offset | undefined;
  private outstandingClaim: Promise<Result<Offset, Failure>> | undefined;
  private isReading = false;
  private cancelTimer: (() => void) | undefined;

  private constructor(private readonly options: OwnershipOptions) {
    const { clock, log, partition } = options;
    this.journal = Journal.create(partition, options.policy);
    this.reader = JournalReader.create(clock, log, this.journal);
    this.follower = StreamFollower.create(
      clock,
      this.reader.stream,
      options.isOwnerAlive ?? (() => false),
    );
    this.lease = Lease.create(clock, options.leaseMs, options.holdMs);
    this.snapshotSchedule = SnapshotSchedule.create(
      clock,
      this.journal,
      options.retentionMs,
      options.snapshotEntries ?? 2_000,
    );
    this.actor.start();
  }

  /**
   * Reads the stream to its end and continues reading while no owner is known to be alive. Resolves
   * with the result of the first read to the end; reading continues even if that read failed.
   */
  follow(): Promise<Result<void, Failure>> {
    this.sendEvent({ type: 'follow' });
    if (this.status !== 'following') return Promise.resolve(ok(undefined));
    return this.follower.start();
  }

  /**
   * Claims the partition after the end of the predecessor's lease. Resolves with the token. Fails with
   * `not-owner` when another owner is alive or claimed first, `log-unavailable` when no claim was
   * appended, and `append-unknown` when one may still be appended.
   */
  claim(): Promise<Result<Offset, Failure>> {
    if (this.ownToken !== undefined && this.authority() !== Authority.none) {
      return Promise.resolve(ok(this.ownToken));
    }
    if (this.outstandingClaim !== undefined) return this.outstandingClaim;
    this.sendEvent({ type: 'claim' });
    if (this.status !== 'claiming') {
      return Promise.resolve(
        err(
          Failure.create(
            'not-ready',
            `The claim of ${this.options.partition} was refused in state ${this.status}.`,
          ),
        ),
      );
    }
    this.follower.stop();
    this.outstandingClaim = this.runClaim();
    return this.outstandingClaim;
  }

  /**
   * What this process may do now. Each call determines the age of the lease, so that a process that was paused
   * or suspended past the end of its lease is not `leased` when it resumes.
   */
  authority(): Authority {
    this.updateStatus();
    return AUTHORITY_BY_STATUS[this.status] ?? Authority.none;
  }

  /** The token of this process, or undefined when it is not the owner. */
  token(): Offset | undefined {
    return this.authority() === Authority.none ? undefined : this.ownToken;
  }

  /** The owner according to the records that have been read so far. */
  holder(): ProcessIdentity | undefined {
    return this.journal.holder();
  }

  /** Former owners that did not release the partition, according to the records that have been read so far. */
  unreleasedOwners(): ReturnType<Journal['unreleasedOwners']> {
    return this.journal.unreleasedOwners();
  }

  /** The current state. Call again after every wait, as replay after a retention gap replaces the object. */
  state(): JournalState {
    return this.journal.state();
  }

  /**
   * Appends entries in one record; `state()` includes them when this succeeds. The caller checks
   * `authority()` before it acts on the entries. Fails with `log-unavailable` or `not-owner` when they were
   * certainly not appended, and with `append-unknown` when they may have been or may still be.
   */
  commit(entries: readonly JournalEntry[]): Promise<Result<void, Failure>> {
    const authority = this.authority();
    if (authority === Authority.leased && this.groupCommit !== undefined) {
      return this.groupCommit.commit(entries);
    }
    const failure =
      authority === Authority.holding
        ? Failure.create(
            'log-unavailable',
            'The lease has expired and could not be renewed in the log.',
          )
        : Failure.create('not-owner', `This process does not own ${this.options.partition}.`);
    return Promise.resolve(err(failure));
  }

  /**
   * Ends the authority and appends the waiting entries, a snapshot and a release. On failure the
   * successor must wait until the lease has expired.
   */
  async release(): Promise<Result<void, Failure>> {
    const { groupCommit } = this;
    if (groupCommit === undefined || this.authority() === Authority.none) return ok(undefined);
    this.sendEvent({ type: 'release' });
    const cancel = this.options.clock.after(this.options.releaseTimeoutMs ?? 5_000, () => {
      groupCommit.close();
    });
    const released = await groupCommit.release();
    cancel();
    this.stopOwning();
    return released;
  }

  /** Calls the listener after each change. Returns a function that removes the listener. */
  onAuthorityChange(listener: (authority: Authority) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Stops without a release and without further appends. */
  close(): void {
    if (this.status === 'closed') return;
    this.follower.stop();
    this.cancelTimer?.();
    this.groupCommit?.close();
    this.groupCommit = undefined;
    this.sendEvent({ type: 'close' });
  }

  /** Values for the state dump. */
  describe(): Record<string, unknown> {
    return {
      partition: this.options.partition,
      authority: this.authority(),
      status: this.status,
      token: this.ownToken ?? null,
      holder: this.holder() ?? null,
      leaseLeftMs: Math.max(0, this.lease.leaseLeftMs()),
      holdLeftMs: Math.max(0, this.lease.holdLeftMs()),
      ...describeJournal(this.journal),
      commits: this.groupCommit?.describe() ?? null,
    };
  }

  /** Runs a claim attempt and starts the ownership, or follows the stream again. */
  private async runClaim(): Promise<Result<Offset, Failure>> {
    const { identity, clock, log, leaseMs } = this.options;
    const claimed = await ClaimAttempt.create({
      identity,
      clock,
      log,
      reader: this.reader,
      leaseMs,
      appendTimeoutMs: this.appendTimeoutMs(),
      isClosed: () => this.status === 'closed',
    }).run();
    this.outstandingClaim = undefined;
    if (this.status === 'closed')
      return err(Failure.create('not-ready', 'The process stopped during the claim.'));
    if (claimed.isErr) {
      this.sendEvent({ type: 'failed' });
      void this.follower.start();
      return err(claimed.error);
    }
    const { token, leaseStart } = claimed.value;
    this.startOwning(token, leaseStart);
    return ok(token);
  }

  private startOwning(token: Offset, leaseStart: Instant): void {
    const { options } = this;
    this.lease.clear();
    this.lease.extend(leaseStart);
    this.snapshotSchedule.reset();
    this.ownToken = token;
    const groupCommit = GroupCommit.create({
      clock: options.clock,
      log: options.log,
      journal: this.journal,
      token,
      reader: this.reader.stream,
      applyAcknowledged: (record) => {
        this.reader.applyOwn(record);
      },
      isLeaseValid: () => this.lease.leaseLeftMs() > 0,
      commitIntervalMs: options.commitIntervalMs,
      appendTimeoutMs: this.appendTimeoutMs(),
      entryWaitMs: options.entryWaitMs ?? options.leaseMs,
      maxWaitingEntries: options.maxWaitingEntries ?? 10_000,
      maxWaitingBytes: options.maxWaitingBytes ?? 8 * 1024 * 1024,
      onDurable: (since) => {
        if (this.groupCommit !== groupCommit) return;
        this.lease.extend(since);
        this.updateStatus();
        this.performDueWork();
      },
      onFenced: () => {
        if (this.groupCommit === groupCommit) this.stopOwning();
      },
    });
    this.groupCommit = groupCommit;
    this.sendEvent({ type: 'claimed' });
    this.performDueWork();
  }

  private stopOwning(): void {
    this.cancelTimer?.();
    this.groupCommit?.close();
    this.groupCommit = undefined;
    this.ownToken = undefined;
    this.lease.clear();
    this.sendEvent({ type: 'stopped' });
    if (this.status === 'following') void this.follower.start();
  }

  /** Changes the status when the lease or the hold time has ended, or the lease is valid again. */
  private updateStatus(): void {
    if (this.status !== 'leased' && this.status !== 'holding') return;
    if (this.lease.holdLeftMs() <= 0) {
      this.stopOwning();
      return;
    }
    const isValid = this.lease.leaseLeftMs() > 0;
    if (this.status === 'leased' && !isValid) this.sendEvent({ type: 'lapsed' });
    if (this.status === 'holding' && isValid) this.sendEvent({ type: 'renewed' });
  }

  /** Appends a renewal and a snapshot when they are due, and sets the timer for the next check. */
  private performDueWork(): void {
    this.cancelTimer?.();
    this.updateStatus();
    const { groupCommit, options } = this;
    if (groupCommit === undefined || this.status === 'releasing') return;
    if (this.snapshotSchedule.isDue()) groupCommit.requestSnapshot();
    const untilRenewalMs = options.renewMs - this.lease.ageMs();
    if (untilRenewalMs <= 0) groupCommit.requestRenewal();
    if (this.status === 'holding') void this.readWhileHolding(groupCommit);
    const remainingTimesMs = [
      untilRenewalMs,
      this.lease.leaseLeftMs(),
      this.lease.holdLeftMs(),
    ].filter((remainingMs) => remainingMs > 0);
    // Repeats an overdue renewal, which the log may have refused; less often during an outage.
    const retryMs = this.status === 'holding' ? options.renewMs : options.renewMs / 4;
    const delayMs = Math.min(...remainingTimesMs, untilRenewalMs <= 0 ? retryMs : Infinity);
    this.cancelTimer = options.clock.after(Math.max(MIN_TIMER_MS, delayMs), () => {
      this.performDueWork();
    });
  }

  /**
   * Reads the stream for the claim of a successor. Failed appends alone do not show whether the log is
   * unavailable or refuses only the appends of this process.
   */
  private async readWhileHolding(groupCommit: GroupCommit): Promise<void> {
    if (this.isReading) return;
    this.isReading = true;
    const read = await this.reader.stream.readToEnd();
    this.isReading = false;
    const isCurrent = this.groupCommit === groupCommit && this.status === 'holding';
    if (isCurrent && read.isOk && this.journal.token() !== this.ownToken) this.stopOwning();
  }

  private appendTimeoutMs(): number {
    const { appendTimeoutMs, leaseMs, renewMs } = this.options;
    return appendTimeoutMs ?? (leaseMs - renewMs) / 2;
  }

  /** Sends an event to the state machine and notifies the listeners if the authority has changed. */
  private sendEvent(event: MachineEvent): void {
    const previousAuthority = AUTHORITY_BY_STATUS[this.status] ?? Authority.none;
    this.actor.send(event);
    this.status = this.actor.getSnapshot().value;
    const newAuthority = AUTHORITY_BY_STATUS[this.status] ?? Authority.none;
    if (newAuthority === previousAuthority) return;
    for (const listener of this.listeners) listener(newAuthority);
  }
}
