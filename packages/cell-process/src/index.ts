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
import { CellContact } from './cell-contact.js';
import { chooseStandbys } from './choose-standbys.js';
import { isAdvice } from './is-advice.js';
import { LoopDelay } from './loop-delay.js';
import { OwnerFeed } from './owner-feed.js';
import { ownerHint } from './owner-hint.js';
import { OwnerTerm } from './owner-term.js';
import { PeerService } from './peer-service.js';
import { MachineRanking } from './machine-ranking.js';
import type { PeerCalls } from './peer-calls.js';
import { Relay } from './relay.js';
import { ReplicaMode } from './replica-mode.js';
import { toldAge } from './told-age.js';
import { WorkerDirectory } from './worker-directory.js';

interface Options {
  clock: Clock;
  log: EventLog;
  count: (name: string, by?: number) => void;
  /** Takes each measured delay with which the process gets to its work, in ms. */
  observeLoopDelay: (delayMs: number) => void;
  store: LogStore;
  /** Name of the machine, for logs. */
  name: string;
  /** Random text that tells the lives of the process apart. */
  incarnation: string;
  /** Address `ip:port` for calls between the processes. */
  peerAddress: string;
  peers: PeerCalls;
  topics: {
    cell: string;
    snapshots: string;
    hints: string;
    configuration: string;
    workers: string;
  };
  configurationKey: string;
  /** How long ended jobs are remembered, in ms. */
  retentionMs: number;
  /** Silence of the owner in ms after which another process takes over. */
  ownerSilenceMs: number;
  /** Random share of a second by which this process delays its claims, in ms. */
  claimJitterMs: number;
  /** Processor time of the machine, in cores. */
  cores: number;
  dataCentre: string;
  /** Which processes hold a replica of the cell. */
  replicas: { smallCell: number; standbys: number };
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
/** Interval in ms of calls to the owner by a process with a replica; also finds an owner whose process is gone. */
const CONTACT_MS = 300;
/** The same for one without: a hundred of them call one owner. */
const THIN_CONTACT_MS = 400;
/** Share of the random delay of claims by which the interval of calls to the owner differs. */
const CONTACT_JITTER_SHARE = 0.25;
/** Calls to the owner come later by this multiple of the delay with which it gets to its work. */
const OWNER_DELAY_FACTOR = 3;
/** Time in ms between two choices of the standbys. */
const CHOICE_MS = 500;
/** Interval in ms at which a standby is told of all processes. */
const TELL_OTHERS_MS = 2_000;
/** Pause in ms before a hint is read again that the store did not answer. */
const HINT_RETRY_MS = 150;
/** Additional wait in ms of a small machine before it claims: a larger one claims within the jitter. */
const OUTRANKED_DELAY_MS = 400;
/** Least time in ms between two hand-overs by one process: the larger machine may be at fault. */
const YIELD_INTERVAL_MS = 8_000;
/** An owner to which the store owes an answer for this long in ms may be turned away, if the store is quick for others. */
const OWNER_STORE_SILENT_MS = 250;
/** Multiple of an owner's own delay that it may take for silence of the store: a call waits several times. */
const OWN_DELAY_FACTOR = 10;
/** An answer of the store within this time in ms is quick; usual are 4, and a slow store takes up to 400. */
const QUICK_ANSWER_MS = 100;
/** A process to which the store owes an answer for this long in ms relays nothing. */
const RELAY_STORE_SILENT_MS = 600;
/** An owner that has heard nothing of the log for this long in ms vouches for nothing: it may have been replaced. */
const FEED_AGE_MS = 600;
/** A process that has heard nothing of the log for this long in ms asks others who owns the cell. */
const SEARCH_AGE_MS = 500;
/** A process without a replica that heard of nobody with one for this long in ms looks for the owner in the store. */
const LOST_CONTACT_MS = 700;
/** A process without a replica that heard of nobody with one for this long in ms serves clients badly. */
const CONTACT_AGE_MS = 900;
/** Longest time in ms that another process waits until this one has read the end of the log. */
const TELL_SYNC_MS = 300;
/** A process that has heard nothing of the log for this long in ms is not ready: another one serves better. */
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
  private readonly contact: CellContact;
  private readonly mode: ReplicaMode;
  private readonly loopDelay: LoopDelay;
  private readonly workers: WorkerDirectory;
  private isHolding = true;
  private mayYieldFromMs = 0;
  private standbys: readonly (readonly [string, string])[] = [];
  private chosenMs = Number.NEGATIVE_INFINITY;
  /** When each standby was last told of all processes, by its address. */
  private readonly toldMs = new Map<string, number>();

  private constructor(private readonly options: Options) {
    const { clock, log, store, topics, name, incarnation } = options;
    this.self = `${name}/${incarnation}`;
    this.ranking = MachineRanking.create(clock, options.cores);
    this.mode = ReplicaMode.create(clock);
    this.loopDelay = LoopDelay.create({ clock, observe: options.observeLoopDelay });
    this.contact = CellContact.create({
      clock,
      peers: options.peers,
      ownAddress: options.peerAddress,
      dataCentre: options.dataCentre,
      replicaClaim: () => this.replica.state.claim,
      // A process that could not own the cell now must not attract it.
      offeredCores: () => (this.isReady() ? options.cores : 0),
      onOwnerReply: (claim, reply) => {
        this.ownerReplied(claim, reply);
      },
      onReplaced: (claim) => {
        if (claim.owner !== this.self) this.ownership.suspect(claim.owner, 'replaced');
      },
    });
    const { self } = this;
    this.snapshots = SnapshotStore.create({ store, topic: topics.snapshots, log });
    this.workers = WorkerDirectory.create({
      clock,
      log,
      store,
      topic: topics.workers,
      decode: options.decodeWorkerEntry,
    });
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
      gapMs: () =>
        this.ownership.isOwning()
          ? OWNER_GAP_MS
          : FOLLOWER_GAP_MS + OWNER_DELAY_FACTOR * this.contact.ownerDelayMs(),
      onApplied: (record, effective) => {
        this.applied(record, effective);
      },
      onReloaded: () => {
        this.ownership.fenced('reloaded');
        void this.contact.call();
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
      onOverdue: () => {
        void this.contact.call();
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
    const relay = Relay.create({
      peers: options.peers,
      ownerAddress: () => this.contact.ownerAddress(),
      replicaAddresses: () => this.contact.replicaAddresses(),
    });
    this.front = CellFront.create({
      clock,
      log,
      count: options.count,
      state: () => (this.isHolding ? this.replica.state : undefined),
      replicaAgeMs: () => this.replica.ageMs(),
      contactAgeMs: () => this.contact.ageMs(),
      storeSilentMs: () => this.storeSilentMs(),
      sync: (timeoutMs) => this.replica.sync(timeoutMs),
      append: (record) => this.appendForClient(recordCodec.encode(record)),
      relayAppend: (record) => relay.append(recordCodec.encode(record)),
      relayThroughStandby: (record) => relay.appendThroughStandby(recordCodec.encode(record)),
      askOutcome: (id) => relay.outcomeOf(id),
      heardPending: (queue) => this.contact.pendingOf(queue),
      askCounts: () => this.contact.search(),
      retentionMs: options.retentionMs,
    });
    this.configurationFollower = KeyedFollower.create({
      clock,
      store,
      log,
      topic: topics.configuration,
      waitMs: CONFIGURATION_WAIT_MS,
      gapMs: () => 0,
      reloadMs: () => Number.POSITIVE_INFINITY,
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
      ownerChanged: (claim) => {
        this.contact.heardClaim(claim);
        void this.contact.call();
      },
      append: (data) =>
        this.storeSilentMs() < RELAY_STORE_SILENT_MS
          ? this.appendForClient(data)
          : Promise.resolve(AppendOutcome.refused),
      outcomeOf: (job) => this.tellOutcome(job),
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
    this.loopDelay.start();
    void this.configurationFollower.run();
    void this.join();
  }

  /** Finds out whether this process is needed as a replica at once, and begins to take part. */
  private async join(): Promise<void> {
    const { clock, store, topics, log } = this.options;
    let hint = await ownerHint.read(store, topics.hints);
    while (hint === undefined && !this.isStopping) {
      await new Promise<void>((resolve) => clock.after(HINT_RETRY_MS, resolve));
      hint = await ownerHint.read(store, topics.hints);
    }
    if (this.isStopping) return;
    if (hint !== null && hint !== undefined) {
      log('info', 'owner-hint-read', { owner: hint.claim.owner, standbys: hint.standbys.length });
      this.contact.heardClaim(hint.claim);
      this.contact.heardStandbys(hint.standbys);
      this.ranking.largestReported(hint.largestCores);
      // A much smaller machine leaves a cell that lost its owner to the larger ones first.
      if (this.ranking.isOutranked()) this.mode.beginWithout();
    }
    this.ownership.start();
    this.workers.open();
    this.applyMode();
    void this.replica.run();
    this.keepContact();
  }

  isOwner(): boolean {
    return this.term !== undefined;
  }

  /** True while this process applies the log of the cell. */
  holdsReplica(): boolean {
    return this.isHolding;
  }

  /** State of a job as the replica of this process shows it. */
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
    if (this.isStopping || this.configuration === undefined) return false;
    if (!this.isHolding) return this.contact.ageMs() < CONTACT_AGE_MS;
    return this.replica.isLoaded && this.replica.contactAgeMs() < READY_AGE_MS;
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
    if (!this.term.knowsOthers() || nowMs < this.mayYieldFromMs) return;
    this.mayYieldFromMs = nowMs + YIELD_INTERVAL_MS;
    log('info', 'owner-yields', { cores, largestCores: this.ranking.largest() });
    await this.term.release();
    this.ownership.fenced('a larger machine');
  }

  stop(): void {
    this.loopDelay.stop();
    this.replica.stop();
    this.configurationFollower.stop();
    this.workers.close();
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
      holdsReplica: this.isHolding,
      contactAgeMs: Math.round(this.contact.ageMs()),
      loopDelayMs: Math.round(this.loopDelay.ms()),
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
    this.ranking.forgetReported();
    this.standbys = [];
    this.chosenMs = Number.NEGATIVE_INFINITY;
    log('info', 'owner-started', { token, jobs: this.replica.state.jobs.size });
    this.loopDelay.watch(true);
    this.term = OwnerTerm.create({
      ...this.options,
      snapshots: this.snapshots,
      workers: this.workers,
      replica: this.replica,
      token,
      loopDelayMs: () => this.loopDelay.ms(),
      onFenced: (by) => {
        this.ownership.fenced(by);
      },
    });
    this.term.start();
    const claim = this.namedClaim();
    if (claim !== null) this.contact.proclaim(claim);
    this.announce();
  }

  private ceaseOwner(reason: string): void {
    if (this.term === undefined) return;
    this.options.log('info', 'owner-stopped', { reason });
    this.term.stop();
    this.term = undefined;
    this.loopDelay.watch(false);
  }

  private keepContact(): void {
    const intervalMs =
      (this.isHolding ? CONTACT_MS : THIN_CONTACT_MS) +
      OWNER_DELAY_FACTOR * this.contact.ownerDelayMs() +
      // Processes that started together must not call the owner at the same moments for ever.
      this.options.claimJitterMs * CONTACT_JITTER_SHARE;
    this.options.clock.after(intervalMs, () => {
      if (this.isStopping) return;
      void this.contact.call();
      void this.yieldToLarger();
      if (this.isHolding && this.replica.contactAgeMs() > SEARCH_AGE_MS) void this.contact.search();
      if (!this.isHolding && this.contact.ageMs() > LOST_CONTACT_MS) void this.readHint();
      this.applyMode();
      this.announce();
      this.keepContact();
    });
  }

  /** Looks in the store for an owner that nobody names; also finds out whether the store answers. */
  private async readHint(): Promise<void> {
    const hint = await ownerHint.read(this.options.store, this.options.topics.hints);
    if (hint === null || hint === undefined) return;
    this.contact.heardClaim(hint.claim);
    this.contact.heardStandbys(hint.standbys);
  }

  /** Begins or ends to hold a replica as the mode says. */
  private applyMode(): void {
    const isHolding = this.mode.decide({
      contactAgeMs: this.contact.ageMs(),
      isOwning: this.term !== undefined,
      isOutranked: this.ranking.isOutranked(),
    });
    if (isHolding === this.isHolding) return;
    this.isHolding = isHolding;
    this.options.log('info', isHolding ? 'replica-taken-up' : 'replica-given-up', {
      contactAgeMs: Math.round(this.contact.ageMs()),
      owner: this.contact.newestClaim()?.owner ?? null,
    });
    if (isHolding) {
      this.workers.open();
      this.replica.resume();
      this.ownership.start();
    } else {
      this.ownership.rest();
      this.workers.close();
      this.replica.pause();
    }
  }

  /** The owner, or who was taken for it, answered: notices a process that was replaced by another life. */
  private ownerReplied(claim: { owner: string }, reply: PeerCallMap['offer-help']['reply']): void {
    this.ranking.largestReported(reply.largestCores);
    if (reply.isStandby !== null) this.mode.chosen(reply.isStandby);
    if (reply.life !== claim.owner) this.ownership.suspect(claim.owner, 'replaced');
    // What a busy owner measures is partly its own delay.
    else if (reply.storeSilentMs > OWNER_STORE_SILENT_MS + OWN_DELAY_FACTOR * reply.loopDelayMs)
      void this.checkTurnedAway(claim.owner);
    else this.ownership.vouch(claim.owner);
  }

  /** The store owes the owner an answer: suspects the owner when it answers this process quickly. */
  private async checkTurnedAway(owner: string): Promise<void> {
    const { clock, store, topics } = this.options;
    if (!this.isHolding) return;
    const sentMs = clock.monotonicMs();
    const answer = await store.read(topics.cell, this.replica.state.nextOffset, 0);
    if (answer.kind !== 'failed' && clock.monotonicMs() - sentMs < QUICK_ANSWER_MS)
      this.ownership.suspect(owner, 'turned-away');
  }

  /** As the owner: chooses the standbys anew from time to time, and writes a changed choice down. */
  private announce(): void {
    const { clock, store, replicas, dataCentre, log } = this.options;
    const nowMs = clock.monotonicMs();
    const claim = this.replica.state.claim;
    if (this.term === undefined || claim === undefined || nowMs - this.chosenMs < CHOICE_MS) return;
    const isFirst = this.chosenMs === Number.NEGATIVE_INFINITY;
    this.chosenMs = nowMs;
    const chosen = chooseStandbys({
      candidates: this.ranking.list(),
      ownDataCentre: dataCentre,
      current: new Set(this.standbys.map(([address]) => address)),
      ...replicas,
    }).map(({ address, dataCentre: where }) => [address, where] as const);
    const addresses = (list: typeof this.standbys): string =>
      list
        .map(([address]) => address)
        .sort()
        .join();
    if (!isFirst && addresses(chosen) === addresses(this.standbys)) return;
    this.standbys = chosen;
    // Once another process owns the cell, these are asked who it is.
    this.contact.heardStandbys(chosen);
    log('info', 'standbys-chosen', { standbys: addresses(chosen) });
    const { owner, address, token } = claim;
    const hint = ownerHint.toRecord({
      claim: { owner, address, token },
      standbys: chosen,
      largestCores: this.ranking.largest(),
    });
    this.term.announce(store.encodeKeyed(hint));
  }

  private storeSilentMs(): number {
    return this.options.store.silentMs();
  }

  private takeOffer(
    offer: PeerCallMap['offer-help']['request'],
  ): PeerCallMap['offer-help']['reply'] {
    const { address, cores, dataCentre } = offer;
    this.ranking.heardOf(address, { cores, dataCentre });
    this.term?.helperSeen(address, (step, workers, timeoutMs) =>
      this.askHelper(address, step, workers, timeoutMs),
    );
    const isCurrent = this.isHolding && this.replica.contactAgeMs() < READY_AGE_MS;
    return {
      life: this.self,
      storeSilentMs: this.storeSilentMs(),
      largestCores: this.ranking.largest(),
      loopDelayMs: this.loopDelay.ms(),
      claim: this.namedClaim(),
      standbys: this.term === undefined ? this.contact.knownStandbys() : this.standbys,
      others: this.othersFor(address),
      isStandby: this.isChosen(address),
      pending: isCurrent ? this.countPending() : null,
      pendingAgeMs: toldAge.write(this.replica.ageMs()),
    };
  }

  /** Whether the process is to hold a replica; null while this one does not know all others. */
  private isChosen(address: string): boolean | null {
    if (this.term?.knowsOthers() !== true) return null;
    return this.standbys.some(([standby]) => standby === address);
  }

  /** A standby learns of all processes, to tell them when it takes the cell over. */
  private othersFor(address: string): readonly string[] {
    if (this.isChosen(address) !== true) return [];
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - (this.toldMs.get(address) ?? Number.NEGATIVE_INFINITY) < TELL_OTHERS_MS) return [];
    this.toldMs.set(address, nowMs);
    return this.ranking.list().map((other) => other.address);
  }

  private countPending(): (readonly [string, number])[] {
    return [...this.replica.state.pending].filter(([, count]) => count > 0);
  }

  /** What this process tells others of a job; undefined while its replica is behind. */
  private async tellOutcome(
    job: string,
  ): Promise<PeerCallMap['relay-outcome']['reply'] | undefined> {
    if (!this.isHolding || this.replica.contactAgeMs() > READY_AGE_MS) return undefined;
    const known = this.outcomeOf(job);
    if (known !== undefined) return { outcome: known, isAbsent: false };
    const isCurrent = await this.replica.sync(TELL_SYNC_MS);
    const found = this.outcomeOf(job);
    if (found !== undefined) return { outcome: found, isAbsent: false };
    return isCurrent ? { outcome: '', isAbsent: true } : undefined;
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
    const { clock } = this.options;
    const takenMs = clock.monotonicMs();
    const isCurrent = (): boolean =>
      this.term !== undefined && replica.contactAgeMs() < FEED_AGE_MS;
    if (!isCurrent()) return undefined;
    if (replica.state.nextOffset <= call.from) await replica.reach(call.from + 1, call.waitMs);
    const records = replica.recordsFrom(call.from);
    if (records === undefined || !isCurrent()) return undefined;
    return {
      end: replica.state.nextOffset,
      records,
      ageMs: toldAge.write(replica.ageMs()),
      heldMs: clock.monotonicMs() - takenMs,
    };
  }

  /** The newest claim that this process knows, for those that cannot read it themselves. */
  private namedClaim(): PeerCallMap['offer-help']['reply']['claim'] {
    const claim = this.contact.newestClaim();
    if (claim === undefined) return null;
    const { owner, address, token } = claim;
    return { owner, address, token };
  }

  /** Address of the process to follow: an owner that renews its claim, or one that others named. */
  private feedAddress(): string | undefined {
    const isNamed = this.contact.isAheadOfReplica();
    return isNamed || this.ownership.isOwnerAlive() ? this.contact.ownerAddress() : undefined;
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
