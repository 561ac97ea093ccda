import type { Clock } from '@acaciahoist/clock';
import { CellFront } from '@acaciahoist/cell-front';
import { CellReplica } from '@acaciahoist/cell-log';
import { AppendOutcome } from '@acaciahoist/cell-log/append-outcome';
import { Appender } from '@acaciahoist/cell-log/appender';
import { CellOwnership } from '@acaciahoist/cell-log/cell-ownership';
import { KeyedFollower } from '@acaciahoist/cell-log/keyed-follower';
import { SnapshotStore } from '@acaciahoist/cell-log/snapshot-store';
import { recordCodec } from '@acaciahoist/cell-state/record-codec';
import type { AdviceClient } from '@acaciahoist/cell-types/advice-client';
import type { CellConfiguration } from '@acaciahoist/cell-types/cell-configuration';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { JobOutcome } from '@acaciahoist/cell-types/job-outcome';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { WorkerClient } from '@acaciahoist/cell-types/worker-client';
import type { WorkerEntry } from '@acaciahoist/cell-types/worker-entry';
import type { EventLog } from '@acaciahoist/types/event-log';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import { isAdvice } from './is-advice.js';
import { OwnerFeed } from './owner-feed.js';
import { OwnerFinder } from './owner-finder.js';
import { OwnerTerm } from './owner-term.js';
import { PeerService } from './peer-service.js';
import { MachineRanking } from './machine-ranking.js';
import type { PeerCalls } from './peer-calls.js';
import { Relay } from './relay.js';

interface Options {
  clock: Clock;
  log: EventLog;
  count: (name: string, by?: number) => void;
  store: LogStore;
  /** Name of the machine, for logs. */
  name: string;
  /** Random text that tells the lives of the process apart. */
  incarnation: string;
  /** Address `ip:port` for calls between the processes. */
  peerAddress: string;
  peers: PeerCalls;
  topics: { cell: string; snapshots: string; configuration: string; workers: string };
  configurationKey: string;
  /** How long ended jobs are remembered, in ms. */
  retentionMs: number;
  /** Silence of the owner in ms after which another process takes over. */
  ownerSilenceMs: number;
  /** Random share of a second by which this process delays its claims, in ms. */
  claimJitterMs: number;
  /** Processor time of the machine, in cores. */
  cores: number;
  decodeConfiguration: (data: Uint8Array) => CellConfiguration | undefined;
  decodeWorkerEntry: (id: string, data: Uint8Array) => WorkerEntry | undefined;
  connect: (entry: WorkerEntry) => WorkerClient;
  advise: AdviceClient;
}

/** Time in ms between two reads of a process that is not the owner; saves calls to the store. */
const FOLLOWER_GAP_MS = 80;
/** The owner knows its own appends; it reads those that other processes made themselves. */
const OWNER_GAP_MS = 50;
/** The configuration must be in force within 2 s: a read waits this long in ms at most. */
const CONFIGURATION_WAIT_MS = 1_000;
/** Interval of calls to the owner in ms; also finds an owner whose process is gone. */
const OFFER_HELP_MS = 300;
const OFFER_TIMEOUT_MS = 700;
/** Additional wait in ms of a small machine before it claims: a larger one claims within the jitter. */
const OUTRANKED_DELAY_MS = 400;
/** A new owner has heard of all other machines after this time in ms. */
const MIN_OWNED_MS = 1_500;
/** Least time in ms between two hand-overs by one process: the larger machine may be at fault. */
const YIELD_INTERVAL_MS = 8_000;
/** An owner to which the store owes an answer for this long in ms is turned away. A slow store takes 400. */
const OWNER_STORE_SILENT_MS = 600;
/** A process to which the store owes an answer for this long in ms relays nothing. */
const RELAY_STORE_SILENT_MS = 600;
/** An owner whose replica is older than this in ms vouches for nothing: it may have been replaced. */
const FEED_AGE_MS = 600;
/** A process whose replica is older than this in ms asks others who owns the cell. */
const SEARCH_AGE_MS = 500;
/** A replica older than this in ms makes the process not ready: another one serves better. */
const READY_AGE_MS = 900;

/** One process of the cell: serves clients from its replica, and owns the cell when it is its turn. */
export class CellProcess {
  static create(options: Options): CellProcess {
    return new CellProcess(options);
  }

  readonly front: CellFront;
  configuration: CellConfiguration | undefined;
  private readonly replica: CellReplica;
  private readonly ownership: CellOwnership;
  private readonly appender: Appender;
  private readonly snapshots: SnapshotStore;
  private readonly configurationFollower: KeyedFollower;
  /** Present while this process owns the cell. */
  private term: OwnerTerm | undefined;
  private isStopping = false;
  /** Name of this life of the process. */
  private readonly self: string;
  private readonly ranking: MachineRanking;
  private readonly finder: OwnerFinder;
  private mayYieldFromMs = 0;

  private constructor(private readonly options: Options) {
    const { clock, log, store, topics, name, incarnation } = options;
    this.self = `${name}/${incarnation}`;
    this.ranking = MachineRanking.create(clock, options.cores);
    this.finder = OwnerFinder.create({ peers: options.peers, ownAddress: options.peerAddress });
    const { self } = this;
    this.snapshots = SnapshotStore.create({ store, topic: topics.snapshots, log });
    const feed = OwnerFeed.create({
      clock,
      log,
      store,
      peers: options.peers,
      ownerAddress: () => this.feedAddress(),
    });
    this.replica = CellReplica.create({
      clock,
      store,
      follow: (topic, from, waitMs) =>
        this.term === undefined ? feed.read(topic, from, waitMs) : store.read(topic, from, waitMs),
      log,
      snapshots: this.snapshots,
      topic: topics.cell,
      retentionMs: options.retentionMs,
      gapMs: () => (this.ownership.isOwning() ? OWNER_GAP_MS : FOLLOWER_GAP_MS),
      onApplied: (record, effective) => {
        this.applied(record, effective);
      },
      onReloaded: () => {
        this.ownership.fenced('reloaded');
        void this.callOwner();
      },
    });
    this.ownership = CellOwnership.create({
      clock,
      store,
      log,
      replica: this.replica,
      topic: topics.cell,
      self,
      address: options.peerAddress,
      silenceMs: options.ownerSilenceMs,
      jitterMs: options.claimJitterMs,
      deferMs: () => (this.ranking.isOutranked() ? OUTRANKED_DELAY_MS : 0),
      onOwned: (token) => {
        this.becomeOwner(token);
      },
      onLost: (reason) => {
        this.ceaseOwner(reason);
      },
    });
    this.appender = Appender.create({
      clock,
      store,
      log,
      topic: topics.cell,
      producer: `front.${self}`,
      epoch: 1,
      sequence: 0,
      insists: false,
      onFenced: () => {
        log('error', 'front-fenced', {});
      },
    });
    const relay = Relay.create({ peers: options.peers, ownerAddress: () => this.ownerAddress() });
    this.front = CellFront.create({
      clock,
      log,
      count: options.count,
      state: () => this.replica.state,
      replicaAgeMs: () => this.replica.ageMs(),
      storeSilentMs: () => this.storeSilentMs(),
      sync: (timeoutMs) => this.replica.sync(timeoutMs),
      append: (record) => this.appendForClient(recordCodec.encode(record)),
      relayAppend: (record) => relay.append(recordCodec.encode(record)),
      relayOutcome: (id) => relay.outcomeOf(id),
    });
    this.configurationFollower = KeyedFollower.create({
      clock,
      store,
      log,
      topic: topics.configuration,
      waitMs: CONFIGURATION_WAIT_MS,
      gapMs: 0,
      reloadMs: 0,
      onRecord: (record) => {
        this.takeConfiguration(record.key, record.value);
      },
      onReloaded: (records) => {
        for (const record of records) this.takeConfiguration(record.key, record.value);
      },
    });
  }

  async start(): Promise<void> {
    const service = PeerService.create({
      helpOffered: (offer) => this.takeOffer(offer),
      append: (data) =>
        this.storeSilentMs() < RELAY_STORE_SILENT_MS
          ? this.appendForClient(data)
          : Promise.resolve(AppendOutcome.refused),
      outcomeOf: (job) => (this.replica.ageMs() < READY_AGE_MS ? this.outcomeOf(job) : undefined),
      readLog: (call) => this.readLog(call),
      advise: this.options.advise,
    });
    await this.options.peers.start(
      (type, body) => service.answer(type, body),
      (address) => {
        const { claim } = this.replica.state;
        if (claim?.address === address) this.ownership.suspect(claim.owner, 'refused');
      },
    );
    void this.replica.run();
    void this.configurationFollower.run();
    this.ownership.start();
    this.offerHelp();
  }

  isOwner(): boolean {
    return this.term !== undefined;
  }

  /** State of a job as this process knows it. */
  outcomeOf(id: string): JobOutcome | undefined {
    return this.replica.state.outcomeOf(id);
  }

  /** Ends at once, as if the process were killed. For tests. */
  abort(): void {
    this.isStopping = true;
    this.ownership.stop();
    this.ceaseOwner('aborted');
    this.appender.close();
    this.stop();
  }

  /** True when clients are better served here than by other processes. */
  isReady(): boolean {
    return (
      !this.isStopping &&
      this.replica.isLoaded &&
      this.configuration !== undefined &&
      this.replica.ageMs() < READY_AGE_MS
    );
  }

  /** Hands the cell over and stops claiming it; clients are still served. */
  async handOver(): Promise<void> {
    this.isStopping = true;
    this.ownership.stop();
    await this.term?.release();
    this.ceaseOwner('stopping');
  }

  /** Hands the cell over when a much larger machine can own it. */
  private async yieldToLarger(): Promise<void> {
    const { clock, log, cores } = this.options;
    const nowMs = clock.monotonicMs();
    if (this.term === undefined || !this.ranking.isOutranked()) return;
    if (nowMs - this.term.startedMs < MIN_OWNED_MS || nowMs < this.mayYieldFromMs) return;
    this.mayYieldFromMs = nowMs + YIELD_INTERVAL_MS;
    log('info', 'owner-yields', { cores, largestCores: this.ranking.largest() });
    await this.term.release();
    this.ownership.fenced('a larger machine');
  }

  stop(): void {
    this.replica.stop();
    this.configurationFollower.stop();
    this.options.peers.stop();
  }

  describe(): Record<string, unknown> {
    const { state } = this.replica;
    return {
      process: this.options.name,
      incarnation: this.options.incarnation,
      ready: this.isReady(),
      configuration: this.configuration?.version ?? null,
      owner: state.claim ?? null,
      owning: this.ownership.isOwning(),
      replica: {
        nextOffset: state.nextOffset,
        ageMs: Math.round(this.replica.ageMs()),
        jobs: state.jobs.size,
        ended: state.ended.size,
      },
      cell: this.term?.describe() ?? null,
      peers: this.options.peers.describe(),
    };
  }

  private applied(record: CellRecord, effective: boolean): void {
    if (record.kind === 'job') this.front.observeJob(record.job.id);
    this.ownership.observe(record, effective);
    this.term?.observe(record, effective);
  }

  private takeConfiguration(key: string, value: Uint8Array | undefined): void {
    if (key !== this.options.configurationKey || value === undefined) return;
    const configuration = this.options.decodeConfiguration(value);
    if (configuration === undefined) {
      this.options.log('error', 'configuration-unreadable', { bytes: value.byteLength });
      return;
    }
    const inForce = this.configuration?.version ?? Number.NEGATIVE_INFINITY;
    if (configuration.version <= inForce) return;
    this.configuration = configuration;
    this.options.log('info', 'configuration-in-force', {
      version: configuration.version,
      queues: configuration.queues.length,
    });
  }

  private becomeOwner(token: number): void {
    const { log } = this.options;
    this.ceaseOwner('claimed anew');
    log('info', 'owner-started', { token, jobs: this.replica.state.jobs.size });
    this.term = OwnerTerm.create({
      ...this.options,
      snapshots: this.snapshots,
      replica: this.replica,
      token,
      onFenced: (by) => {
        this.ownership.fenced(by);
      },
    });
    this.term.start();
  }

  private ceaseOwner(reason: string): void {
    if (this.term === undefined) return;
    this.options.log('info', 'owner-stopped', { reason });
    this.term.stop();
    this.term = undefined;
  }

  private offerHelp(): void {
    this.options.clock.after(OFFER_HELP_MS, () => {
      if (this.isStopping) return;
      void this.callOwner();
      void this.yieldToLarger();
      if (this.replica.ageMs() > SEARCH_AGE_MS) void this.finder.search();
      this.offerHelp();
    });
  }

  /** Offers help to the owner, and notices when its process was replaced by another life. */
  private async callOwner(): Promise<void> {
    const { peers, peerAddress } = this.options;
    const claim = this.finder.newest(this.replica.state.claim);
    if (claim === undefined || claim.address === peerAddress) {
      if (claim !== undefined && claim.owner !== this.self)
        this.ownership.suspect(claim.owner, 'replaced');
      return;
    }
    // A process that could not own the cell now must not attract it.
    const cores = this.isReady() ? this.options.cores : 0;
    const offer = { address: peerAddress, cores };
    const reply = await peers.call(claim.address, 'offer-help', offer, OFFER_TIMEOUT_MS);
    if (reply.isErr) return;
    this.ranking.largestReported(reply.value.largestCores);
    this.finder.heardOf(reply.value.peers);
    this.finder.heardClaim(reply.value.claim);
    if (reply.value.life !== claim.owner) this.ownership.suspect(claim.owner, 'replaced');
    else if (reply.value.storeSilentMs > OWNER_STORE_SILENT_MS)
      this.ownership.suspect(claim.owner, 'turned-away');
  }

  private storeSilentMs(): number {
    return this.options.store.silentMs();
  }

  private takeOffer(
    offer: PeerCallMap['offer-help']['request'],
  ): PeerCallMap['offer-help']['reply'] {
    const { address, cores } = offer;
    this.ranking.heardOf(address, cores);
    this.finder.heardOf([address]);
    this.term?.helperSeen(address, (step, workers, timeoutMs) =>
      this.askHelper(address, step, workers, timeoutMs),
    );
    return {
      life: this.self,
      storeSilentMs: this.storeSilentMs(),
      largestCores: this.ranking.largest(),
      peers: this.finder.addresses(),
      claim: this.namedClaim(),
    };
  }

  /** The owner appends the records of clients together with its own. */
  private async appendForClient(data: Uint8Array): Promise<AppendOutcome> {
    const appended = await this.term?.appendForClient(data);
    return appended ?? this.appender.append([data]);
  }

  /** Hands records of the log on to a follower while this process owns the cell and is up to date. */
  private async readLog(call: {
    from: number;
    waitMs: number;
  }): Promise<PeerCallMap['read-log']['reply'] | undefined> {
    const { replica } = this;
    const isCurrent = (): boolean => this.term !== undefined && replica.ageMs() < FEED_AGE_MS;
    if (!isCurrent()) return undefined;
    if (replica.state.nextOffset <= call.from) await replica.reach(call.from + 1, call.waitMs);
    const records = replica.recordsFrom(call.from);
    if (records === undefined || !isCurrent()) return undefined;
    return { end: replica.state.nextOffset, records };
  }

  /** The newest claim that this process knows, for those that cannot read it themselves. */
  private namedClaim(): PeerCallMap['offer-help']['reply']['claim'] {
    const claim = this.finder.newest(this.replica.state.claim);
    if (claim === undefined) return null;
    const { owner, address, token } = claim;
    return { owner, address, token };
  }

  /** Address of the process to follow: an owner that renews its claim, or one that others named. */
  private feedAddress(): string | undefined {
    const isNamed = this.finder.isAhead(this.replica.state.claim);
    return isNamed || this.ownership.isOwnerAlive() ? this.ownerAddress() : undefined;
  }

  /** Address of the owner when it is another process. */
  private ownerAddress(): string | undefined {
    const address = this.finder.newest(this.replica.state.claim)?.address;
    return address === this.options.peerAddress ? undefined : address;
  }

  private async askHelper(
    address: string,
    step: string,
    workers: readonly string[],
    timeoutMs: number,
  ): ReturnType<AdviceClient> {
    const reply = await this.options.peers.call(
      address,
      'advise',
      { step, workers, timeoutMs },
      timeoutMs,
    );
    if (reply.isErr) return { kind: 'failed', reason: reply.error.message };
    const { advice } = reply.value;
    return isAdvice(advice) ? advice : { kind: 'failed', reason: 'malformed reply of a helper' };
  }
}
