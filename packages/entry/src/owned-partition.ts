import Result from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { Ownership } from '@acaciahoist/ownership';
import { PartitionOwner } from '@acaciahoist/partition-owner';
import { KeyedRequests } from '@acaciahoist/request-router/keyed-requests';
import type { KeyClaim } from '@acaciahoist/request-router/key-claim';
import type { KeyRecord } from '@acaciahoist/request-router/key-record';
import type { SlotAccess } from '@acaciahoist/request-router/slot-access';
import { SlotPool } from '@acaciahoist/slot-pool';
import type { Declaration } from '@acaciahoist/types/declaration';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import { computeQuarantineTimes } from './compute-quarantine-times.js';
import type { EntryContext } from './entry-context.js';
import type { PredecessorExpiry } from './predecessor-expiry.js';
import { formatHolderName } from './format-holder-name.js';
import type { PartitionInputs } from './partition-inputs.js';

/**
 * Time after which a worker refuses a start, counted from its send. Short, because a start whose result is
 * unknown cannot be settled earlier.
 */
const START_DEADLINE_MS = 2_000;
/** Delay from a change to the planning round that it requests. */
const ROUND_DELAY_MS = 20;
/**
 * A key takes about 300 bytes without the reply body: together 15 MiB of the 32 MiB that a snapshot may
 * have.
 */
const MAX_KEYS = 50_000;
const WORKER_MAINTENANCE_INTERVAL_MS = 1_000;

interface Options {
  context: EntryContext;
  partition: string;
  ownership: Ownership;
  inputs: PartitionInputs;
  predecessorExpiry: PredecessorExpiry | undefined;
  slotAccess: SlotAccess;
}

/**
 * What this process runs as the owner of one partition under one fencing token: the pool of runner slots,
 * the jobs, and the requests with a key.
 */
export class OwnedPartition {
  static create(options: Options): OwnedPartition {
    return new OwnedPartition(options);
  }

  readonly partitionOwner: PartitionOwner;
  readonly slotPool: SlotPool;
  readonly keyedRequests: KeyedRequests;
  readonly token: number;
  private readonly removeAuthorityListener: () => void;
  private isFenced = false;
  private promptServices: ReadonlySet<string>;

  private constructor(private readonly options: Options) {
    const { ownership } = options;
    this.token = ownership.token() ?? -1;
    this.promptServices = listPromptServices(options.inputs.declaration);
    this.slotPool = this.createSlotPool();
    this.partitionOwner = this.createPartitionOwner();
    this.keyedRequests = this.createKeyedRequests();
    this.update(options.inputs);
    this.recordUnknownKeyOutcomes();
    this.partitionOwner.start();
    this.slotPool.setAuthority(ownership.authority());
    this.removeAuthorityListener = ownership.onAuthorityChange(() => {
      this.slotPool.setAuthority(this.slotAuthority());
    });
  }

  /** Applies a new declaration or VM list. */
  update(inputs: PartitionInputs): void {
    this.slotPool.setRunners(inputs.runners);
    this.promptServices = listPromptServices(inputs.declaration);
    this.partitionOwner.setTeams(inputs.declaration.users.flatMap((user) => user.teams));
    this.partitionOwner.setWorkers(inputs.workers);
    this.partitionOwner.setServices(inputs.services);
  }

  authority(): ReturnType<Ownership['authority']> {
    return this.options.ownership.authority();
  }

  /** Refuses new requests with a key, waits until those in flight end, and appends the waiting entries. */
  async drain(): Promise<void> {
    await this.keyedRequests.drain();
    await this.partitionOwner.flush();
  }

  /**
   * Stops granting slots permanently, because this process replies to a newer owner that it grants no more
   * slots under this token.
   */
  stopGranting(): void {
    this.isFenced = true;
    this.slotPool.setAuthority('none');
  }

  close(): void {
    this.removeAuthorityListener();
    this.keyedRequests.close();
    this.partitionOwner.stop();
    this.slotPool.close();
  }

  describe(): Record<string, unknown> {
    return {
      partition: this.options.partition,
      token: this.token,
      jobs: this.partitionOwner.describe(),
      slots: this.slotPool.describe(),
      keyedRequests: this.keyedRequests.describe(),
    };
  }

  private slotAuthority(): ReturnType<Ownership['authority']> {
    return this.isFenced ? 'none' : this.options.ownership.authority();
  }

  private createSlotPool(): SlotPool {
    const { context, inputs, predecessorExpiry } = this.options;
    const { settings, clock } = context;
    const maxDeadlineMs = findLongestDeadlineMs(inputs.declaration);
    const pool = SlotPool.create({
      clock,
      token: this.token,
      slotsPerRunner: settings.slotsPerRunner,
      heldSlotsPercent: settings.heldSlotsPercent,
      maxDeadlineMs,
      readAuthority: () => this.slotAuthority(),
      isPrompt: (service) => this.promptServices.has(service),
      maxWaiting: { prompt: settings.promptQueueRequests, heavy: settings.heavyQueueRequests },
    });
    if (predecessorExpiry !== undefined) {
      pool.startAfterFailover(computeQuarantineTimes(predecessorExpiry, maxDeadlineMs));
    }
    return pool;
  }

  private createPartitionOwner(): PartitionOwner {
    const { context, partition, ownership, inputs, predecessorExpiry } = this.options;
    const { settings, clock, log } = context;
    return PartitionOwner.create({
      partition,
      clock,
      ledger: ownership,
      workers: context.workers,
      placement: {
        teams: inputs.declaration.users.flatMap((user) => user.teams),
        limits: {
          reservePerMille: inputs.declaration.urgentReservePerMille,
          armBeforeMs: settings.armBeforeMs,
        },
        seed: this.token + 1,
      },
      taskLeaseMs: settings.taskLeaseMs,
      startDeadlineMs: START_DEADLINE_MS,
      roundDelayMs: ROUND_DELAY_MS,
      callIntervalMs: WORKER_MAINTENANCE_INTERVAL_MS,
      predecessorRenewalsUntilMs:
        predecessorExpiry === undefined ? clock.monotonicMs() : predecessorExpiry.holdUntilMs,
      periodLength: inputs.declaration.period,
      log: (event, fields) => {
        log('info', event, { partition, ...fields });
      },
    });
  }

  private createKeyedRequests(): KeyedRequests {
    const { context, ownership, slotAccess } = this.options;
    return KeyedRequests.create({
      clock: context.clock,
      send: context.sendToRunner,
      health: context.runnerHealth,
      holder: formatHolderName(context.identity),
      createId: context.createId,
      ...slotAccess,
      isLeased: () => ownership.authority() === 'leased',
      findKey: (key) => this.findKey(key),
      claimKey: (claim) => this.claimKey(claim),
      recordOutcome: ({ key, outcome, reply }) =>
        this.commit({ type: 'key-done', key, outcome, reply, atMs: context.clock.wallMs() }),
    });
  }

  private commit(entry: JournalEntry): Promise<Result<void, Failure>> {
    return this.options.ownership.commit([entry]);
  }

  /**
   * Records the claim of a key. The number of keys is limited, as a snapshot contains every key until it
   * expires.
   */
  private claimKey(claim: KeyClaim): Promise<Result<void, Failure>> {
    const { ownership, context } = this.options;
    if (ownership.state().keys.size >= MAX_KEYS) {
      const message = `the partition already keeps ${MAX_KEYS} keys; repeat the request later`;
      return Promise.resolve(Result.err(Failure.create(ErrorKind.overloaded, message)));
    }
    return this.commit({ type: 'key-claimed', ...claim, atMs: context.clock.wallMs() });
  }

  private findKey(key: string): KeyRecord | undefined {
    const keyRecord = this.options.ownership.state().keys.get(key);
    if (keyRecord === undefined) return undefined;
    const { requestDigest, outcome, reply } = keyRecord;
    return { requestDigest, done: outcome === null ? undefined : { outcome, reply } };
  }

  /** Records `unknown` for keys that a predecessor claimed without an outcome: their requests may have run. */
  private recordUnknownKeyOutcomes(): void {
    const { ownership, context } = this.options;
    const unfinishedKeys = [...ownership.state().keys.values()].filter(
      (key) => key.outcome === null,
    );
    const atMs = context.clock.wallMs();
    const entries = unfinishedKeys.map(({ key }): JournalEntry => ({
      type: 'key-done',
      key,
      outcome: 'unknown',
      reply: null,
      atMs,
    }));
    if (entries.length > 0) this.partitionOwner.recordFacts(entries);
  }
}

function listPromptServices(declaration: Declaration): ReadonlySet<string> {
  const prompt = declaration.services.filter((service) => service.lane === 'prompt');
  return new Set(prompt.map((service) => service.name));
}

/** Returns the longest deadline of the declared services, at least 1 s. */
function findLongestDeadlineMs(declaration: Declaration): number {
  return Math.max(1_000, ...declaration.services.map((service) => service.deadlineMs));
}
