import type Result from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import type { Instant } from '@acaciahoist/clock/instant';
import { CellFront } from '@acaciahoist/cell-front';
import { SharedCall } from '@acaciahoist/cell-front/shared-call';
import { CellReplica } from '@acaciahoist/cell-log';
import { AppendOutcome } from '@acaciahoist/cell-log/append-outcome';
import { Appender } from '@acaciahoist/cell-log/appender';
import { CellOwnership } from '@acaciahoist/cell-log/cell-ownership';
import { KeyedFollower } from '@acaciahoist/cell-log/keyed-follower';
import { SnapshotStore } from '@acaciahoist/cell-log/snapshot-store';
import { recordCodec } from '@acaciahoist/cell-state/record-codec';
import type { AdviceClient } from '@acaciahoist/cell-types/advice-client';
import type { CellJob } from '@acaciahoist/cell-types';
import type { CellConfiguration } from '@acaciahoist/cell-types/cell-configuration';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { CellJobState } from '@acaciahoist/cell-types/cell-job-state';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { WorkerClient } from '@acaciahoist/cell-types/worker-client';
import type { WorkerEntry } from '@acaciahoist/cell-types/worker-entry';
import type { Failure } from '@acaciahoist/errors';
import type { EventLog } from '@acaciahoist/types/event-log';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import { PeerTracker } from './peer-tracker.js';
import { chooseStandbys } from './choose-standbys.js';
import { ConfigurationKeeper } from './configuration-keeper.js';
import { jobInspection } from './job-inspection.js';
import { LoopDelayMonitor } from './loop-delay-monitor.js';
import { CellLogReader } from './cell-log-reader.js';
import { ownerHint } from './owner-hint.js';
import { OwnerTerm } from './owner-term.js';
import { PeerService } from './peer-service.js';
import { MachineRanking } from './machine-ranking.js';
import type { PeerCalls } from './peer-calls.js';
import { inspectPlacement } from './inspect-placement.js';
import { PeerRelay } from './peer-relay.js';
import { requestAdviceThrough } from './request-advice-through.js';
import { ReplicaPolicy } from './replica-policy.js';
import { TeamLimits } from './team-limits.js';
import { wireAge } from './wire-age.js';
import { WorkerDirectory } from './worker-directory.js';

interface Options {
  clock: Clock;
  log: EventLog;
  /** Increases the counter of this name in the metrics. */
  count: (name: string, by?: number) => void;
  /** Receives each measured event-loop delay, in ms. */
  observeLoopDelay: (delayMs: number) => void;
  store: LogStore;
  /** Name of the machine; it is part of the name of the process in claims, and appears in `describe`. */
  name: string;
  /** Text that is unique among all incarnations of the process. */
  incarnation: string;
  /** Address `ip:port` for calls between the processes. */
  peerAddress: string;
  peers: PeerCalls;
  /** Names of the topics of the store. */
  topics: {
    cell: string;
    snapshots: string;
    hints: string;
    configuration: string;
    workers: string;
  };
  /** Key of the configuration in its topic. */
  configurationKey: string;
  /** Time in ms for which ended jobs are kept. */
  retentionMs: number;
  /** Longest lease in ms that a worker grants, on its own clock. */
  maxLeaseMs: number;
  /** Time in ms without a record of the owner after which another process claims the cell. */
  ownerTimeoutMs: number;
  /** Random delay in ms of this process's claims, so that processes do not claim at the same time. */
  claimJitterMs: number;
  /** Processor capacity of the machine, in cores. */
  cores: number;
  dataCentre: string;
  /**
   * How many processes hold a replica of the cell: all of them in a cell of at most `maxSmallCellSize` processes,
   * the owner and `standbys` others in a larger one.
   */
  replicas: { maxSmallCellSize: number; standbys: number };
  decodeConfiguration: (data: Uint8Array) => Result<CellConfiguration, Failure>;
  decodeWorkerEntry: (id: string, data: Uint8Array) => WorkerEntry | undefined;
  connect: (entry: WorkerEntry) => WorkerClient;
  advise: AdviceClient;
}

/** Minimum time in ms between two reads of the log by a follower; saves calls to the store. */
const FOLLOWER_READ_INTERVAL_MS = 80;
/**
 * Minimum time in ms between two reads of the log by the owner. It applies its own appends at once and reads
 * only those of other processes.
 */
const OWNER_READ_INTERVAL_MS = 50;
/** Maximum time in ms for which a read waits for a new configuration, which must be in force within 2 s. */
const CONFIGURATION_WAIT_MS = 1_000;
/**
 * Interval in ms at which a process with a replica calls the owner. The calls also show when the owner's
 * process has ended.
 */
const CONTACT_INTERVAL_MS = 300;
/**
 * Interval in ms at which a process without a replica calls the owner; longer, because a hundred such
 * processes may call one owner.
 */
const NO_REPLICA_CONTACT_INTERVAL_MS = 400;
/**
 * Share of `claimJitterMs` that is added to the interval of calls to the owner, so that processes that
 * started together do not all call it at the same time.
 */
const CONTACT_JITTER_SHARE = 0.25;
/** Multiple of the owner's event-loop delay by which calls to it and reads of the log are delayed. */
const OWNER_LOOP_DELAY_FACTOR = 3;
/** Minimum time in ms between two choices of the standbys. */
const STANDBY_CHOICE_INTERVAL_MS = 500;
/** Minimum time in ms between two replies that list the addresses of all processes to the same standby. */
const SEND_ADDRESSES_INTERVAL_MS = 2_000;
/** Pause in ms before the owner hint is read again after the store did not answer. */
const HINT_RETRY_PAUSE_MS = 150;
/** Time in ms by which an outranked machine defers a claim, so that a larger one claims first. */
const OUTRANKED_CLAIM_DELAY_MS = 400;
/**
 * Minimum time in ms between two handovers by one process, because the larger machine may be faulty and lose
 * the cell again.
 */
const HANDOVER_INTERVAL_MS = 8_000;
/**
 * When the owner has waited for the store for longer than this in ms, this process checks whether the store
 * refuses only the calls of the owner.
 */
const MAX_OWNER_STORE_OUTAGE_MS = 250;
/**
 * Multiple of the owner's event-loop delay that is added to `MAX_OWNER_STORE_OUTAGE_MS`. A call waits for the
 * event loop several times, and the owner counts that time as a wait for the store.
 */
const STORE_OUTAGE_LOOP_DELAY_FACTOR = 10;
/**
 * A response of the store within this time in ms is quick. Usually it takes 4 ms, and up to 400 ms when the
 * store is slow.
 */
const QUICK_RESPONSE_MS = 100;
/** A process appends no records for others once it has waited for the store for this time in ms. */
const MAX_RELAY_STORE_OUTAGE_MS = 600;
/**
 * The owner serves no records to followers after this time in ms without reaching the end of the log, because
 * it may have been replaced.
 */
const MAX_SERVED_LOG_AGE_MS = 600;
/**
 * A process with a replica queries other processes for the owner after this time in ms without reaching the
 * end of the log.
 */
const MAX_LOG_AGE_BEFORE_QUERY_MS = 500;
/**
 * A process without a replica reads the owner hint from the store after this time in ms without contact with
 * a process that holds one.
 */
const MAX_CONTACT_AGE_BEFORE_HINT_MS = 700;
/**
 * A process without a replica is not ready after this time in ms without contact with a process that holds
 * one, because others serve clients better.
 */
const MAX_READY_CONTACT_AGE_MS = 900;
/** Maximum time in ms for which another process's query for a job waits for the replica to catch up. */
const JOB_STATE_SYNC_TIMEOUT_MS = 300;
/**
 * A process with a replica is not ready, and sends no counts or states of jobs to others, after this time in
 * ms without reaching the end of the log, because others serve better.
 */
const MAX_READY_LOG_AGE_MS = 900;

/**
 * One process of the cell. Serves clients from its own replica or through other processes, and claims the
 * cell when the cell has no working owner.
 */
export class CellProcess {
  static create(options: Options): CellProcess {
    return new CellProcess(options);
  }

  /** Serves the requests of clients. */
  readonly front: CellFront;
  private readonly replica: CellReplica;
  private readonly jobStateSync = SharedCall.create(() =>
    this.replica.sync(JOB_STATE_SYNC_TIMEOUT_MS),
  );
  private readonly ownership: CellOwnership;
  private readonly appender: Appender;
  private readonly snapshots: SnapshotStore;
  private readonly configurationKeeper: ConfigurationKeeper;
  private readonly configurationFollower: KeyedFollower;
  /** Present while this process owns the cell. */
  private term: OwnerTerm | undefined;
  private isStopping = false;
  /** Name of this incarnation of the process in claims and replies. */
  private readonly incarnationName: string;
  private readonly ranking: MachineRanking;
  private readonly peerTracker: PeerTracker;
  private readonly teamLimits: TeamLimits;
  private readonly replicaPolicy: ReplicaPolicy;
  private readonly loopDelayMonitor: LoopDelayMonitor;
  private readonly workers: WorkerDirectory;
  private isHoldingReplica = true;
  private handoverPausedUntilMs = 0;
  /** While this process owns the cell, the standbys with their data centres. */
  private standbys: readonly (readonly [address: string, dataCentre: string])[] = [];
  private standbysChosenAtMs = Number.NEGATIVE_INFINITY;
  /** Time at which the addresses of all processes were last sent to each standby, by its address. */
  private readonly addressesSentAtMs = new Map<string, number>();

  private constructor(private readonly options: Options) {
    const { clock, log, store, topics, name, incarnation } = options;
    this.incarnationName = `${name}/${incarnation}`;
    this.ranking = MachineRanking.create(clock, options.cores);
    this.replicaPolicy = ReplicaPolicy.create(clock);
    this.loopDelayMonitor = LoopDelayMonitor.create({ clock, observe: options.observeLoopDelay });
    this.configurationKeeper = ConfigurationKeeper.create({
      ...options,
      decode: options.decodeConfiguration,
      storeOutageMs: () => this.storeOutageMs(),
    });
    this.teamLimits = TeamLimits.create({
      clock,
      ownAddress: options.peerAddress,
      listArrivals: () => this.front.listArrivals(),
      findBacklog: () => this.term?.findTeamBacklog(),
    });
    this.peerTracker = PeerTracker.create({
      clock,
      teamLimits: this.teamLimits,
      peers: options.peers,
      ownAddress: options.peerAddress,
      dataCentre: options.dataCentre,
      replicaClaim: () => this.replica.state.claim,
      // The owner hands the cell over to larger machines; a process that is not ready must not be chosen.
      offeredCores: () => (this.isReady() ? options.cores : 0),
      configuration: this.configurationKeeper,
      onOwnerReply: (claim, reply) => {
        this.applyOwnerReply(claim, reply);
      },
      onOwnAddressClaimed: (claim) => {
        if (claim.owner !== this.incarnationName) this.ownership.suspect(claim.owner, 'replaced');
      },
    });
    const { incarnationName } = this;
    this.snapshots = SnapshotStore.create({ store, topic: topics.snapshots, log });
    this.workers = WorkerDirectory.create({
      clock,
      log,
      store,
      topic: topics.workers,
      decode: options.decodeWorkerEntry,
    });
    const logReader = CellLogReader.create({
      clock,
      log,
      store,
      peers: options.peers,
      ownerAddress: () => this.findLogSourceAddress(),
    });
    this.replica = CellReplica.create({
      clock,
      store,
      readLog: (topic, from, waitMs) =>
        this.term === undefined
          ? logReader.read(topic, from, waitMs)
          : store.read(topic, from, waitMs),
      log,
      snapshots: this.snapshots,
      topic: topics.cell,
      retentionMs: options.retentionMs,
      readIntervalMs: () =>
        this.ownership.isOwning()
          ? OWNER_READ_INTERVAL_MS
          : FOLLOWER_READ_INTERVAL_MS +
            OWNER_LOOP_DELAY_FACTOR * this.peerTracker.ownerLoopDelayMs(),
      onApplied: (record, isEffective) => {
        this.observeRecord(record, isEffective);
      },
      onReloaded: () => {
        this.ownership.endOwnership('replica reloaded from a snapshot');
        void this.peerTracker.contactOwner();
      },
    });
    this.ownership = CellOwnership.create({
      clock,
      store,
      log,
      replica: this.replica,
      topic: topics.cell,
      incarnationName,
      address: options.peerAddress,
      ownerTimeoutMs: options.ownerTimeoutMs,
      jitterMs: options.claimJitterMs,
      deferMs: () => (this.ranking.isOutranked() ? OUTRANKED_CLAIM_DELAY_MS : 0),
      onOwned: (token, claimSentAt) => {
        this.startOwning(token, claimSentAt);
      },
      onLost: (reason) => {
        this.stopOwning(reason);
      },
      onRenewalsOverdue: () => {
        void this.peerTracker.contactOwner();
      },
    });
    this.appender = Appender.create({
      clock,
      store,
      log,
      topic: topics.cell,
      producer: `front.${incarnationName}`,
      epoch: 1,
      sequence: 0,
      repeatsRefused: false,
      onFenced: () => {
        log('error', 'front-fenced', {});
      },
    });
    const relay = PeerRelay.create({
      peers: options.peers,
      ownerAddress: () => this.peerTracker.ownerAddress(),
      replicaAddresses: () => this.peerTracker.replicaAddresses(),
    });
    this.front = CellFront.create({
      clock,
      log,
      count: options.count,
      state: () => (this.isHoldingReplica ? this.replica.state : undefined),
      replicaAgeMs: () => this.replica.ageMs(),
      contactAgeMs: () => this.peerTracker.contactAgeMs(),
      storeOutageMs: () => this.storeOutageMs(),
      ownerAppendTimeMs: () =>
        this.term === undefined ? this.peerTracker.ownerAppendTimeMs() : this.term.appendTimeMs(),
      isLargeCell: () => this.peerTracker.knownProcessCount() > options.replicas.maxSmallCellSize,
      sync: (timeoutMs) => this.replica.sync(timeoutMs),
      appendDirectly: (record) => this.appendForClient(recordCodec.encode(record)),
      appendThroughOwner: (record) => {
        const data = recordCodec.encode(record);
        return this.term === undefined ? relay.append(data) : this.appendForClient(data);
      },
      appendThroughStandby: (record) => relay.appendThroughStandby(recordCodec.encode(record)),
      queryJobState: (id) => relay.queryJobState(id),
      findReportedCount: (queue) => this.peerTracker.pendingCountOf(queue),
      findReportedBytes: () => this.peerTracker.openJobBytes(),
      teams: () => this.configuration?.teams ?? [],
      findTeamLimit: (team) => this.teamLimits.find(team),
      queryCounts: () => this.peerTracker.queryReplicas(),
      retentionMs: options.retentionMs,
    });
    this.configurationFollower = KeyedFollower.create({
      clock,
      store,
      log,
      topic: topics.configuration,
      waitMs: CONFIGURATION_WAIT_MS,
      readIntervalMs: () => 0,
      reloadIntervalMs: () => Number.POSITIVE_INFINITY,
      onRecord: (record) => {
        if (record.key === options.configurationKey && record.value !== undefined)
          this.configurationKeeper.applyStored(record.value);
      },
    });
  }

  /** Starts to serve other processes, to follow the configuration, and to join the cell. */
  async start(): Promise<void> {
    const service = PeerService.create({
      onHelpOffer: (offer) => this.answerOffer(offer),
      onOwnerChanged: (claim) => {
        this.peerTracker.adoptNewerClaim(claim);
        void this.peerTracker.contactOwner();
      },
      append: (data) =>
        this.storeOutageMs() < MAX_RELAY_STORE_OUTAGE_MS
          ? this.appendForClient(data)
          : Promise.resolve(AppendOutcome.refused),
      readJobState: (job) => this.answerJobState(job),
      readLog: (call) => this.readLogForFollower(call),
      readConfiguration: (call) => this.configurationKeeper.readPart(call),
      advise: this.options.advise,
    });
    await this.options.peers.start(
      (type, body) => service.answer(type, body),
      (address) => {
        const { claim } = this.replica.state;
        if (claim?.address === address) this.ownership.suspect(claim.owner, 'refused');
      },
    );
    this.loopDelayMonitor.start();
    void this.configurationFollower.run();
    void this.join();
  }

  /**
   * Reads the owner hint, decides from it whether this process loads a replica at once, and starts the
   * regular calls to the owner.
   */
  private async join(): Promise<void> {
    const { clock, store, topics, log } = this.options;
    let hint = await ownerHint.read(store, topics.hints);
    while (hint === undefined && !this.isStopping) {
      await new Promise<void>((resolve) => clock.after(HINT_RETRY_PAUSE_MS, resolve));
      hint = await ownerHint.read(store, topics.hints);
    }
    if (this.isStopping) return;
    if (hint !== null && hint !== undefined) {
      log('info', 'owner-hint-read', { owner: hint.claim.owner, standbys: hint.standbys.length });
      this.peerTracker.adoptNewerClaim(hint.claim);
      this.peerTracker.replaceStandbys(hint.standbys);
      this.ranking.setReportedLargestCores(hint.largestCores);
      // A much smaller machine holds no replica at first, so that larger ones claim a cell without an owner.
      if (this.ranking.isOutranked()) this.replicaPolicy.startWithoutReplica();
    }
    this.ownership.start();
    this.workers.startFollowing();
    this.applyReplicaPolicy();
    void this.replica.run();
    this.scheduleContact();
  }

  /** The configuration in force; undefined until one is read for the first time. */
  get configuration(): CellConfiguration | undefined {
    return this.configurationKeeper.inForce;
  }

  isOwner(): boolean {
    return this.term !== undefined;
  }

  /** True while this process keeps a replica, which it may still be loading. */
  holdsReplica(): boolean {
    return this.isHoldingReplica;
  }

  /** State of a job in the replica of this process; undefined for an unknown job. */
  jobStateOf(id: string): CellJobState | undefined {
    return this.replica.state.jobStateOf(id);
  }

  /** Stops at once without releasing the cell, as if the process were killed. For tests. */
  abort(): void {
    this.isStopping = true;
    this.ownership.stop();
    this.stopOwning('aborted');
    this.appender.close();
    this.stop();
  }

  /**
   * True when this process serves clients well: its configuration is loaded, and its replica, or its contact
   * with other processes if it holds none, is current.
   */
  isReady(): boolean {
    if (this.isStopping || this.configuration === undefined) return false;
    if (!this.isHoldingReplica) return this.peerTracker.contactAgeMs() < MAX_READY_CONTACT_AGE_MS;
    return this.replica.isLoaded && this.replica.contactAgeMs() < MAX_READY_LOG_AGE_MS;
  }

  /** Releases the cell and stops claiming it; clients are still served. */
  async handOver(): Promise<void> {
    this.isStopping = true;
    this.ownership.stop();
    await this.term?.release();
    this.stopOwning('stopping');
  }

  /** Releases the cell when a much larger machine can own it. */
  private async handOverToLargerMachine(): Promise<void> {
    const { clock, log, cores } = this.options;
    const nowMs = clock.monotonicMs();
    if (this.term === undefined || !this.ranking.isOutranked()) return;
    if (!this.term.areReportsComplete() || nowMs < this.handoverPausedUntilMs) return;
    this.handoverPausedUntilMs = nowMs + HANDOVER_INTERVAL_MS;
    log('info', 'owner-hands-over', { cores, largestCores: this.ranking.largestCores() });
    await this.term.release();
    this.ownership.endOwnership('released for a larger machine');
  }

  /** Stops following the log and calling other processes. */
  stop(): void {
    this.loopDelayMonitor.stop();
    this.replica.stop();
    this.configurationFollower.stop();
    this.workers.stopFollowing();
    this.options.peers.stop();
  }

  /** Returns the state of this process for operators. */
  describe(): Record<string, unknown> {
    const { state } = this.replica;
    return {
      process: this.options.name,
      incarnation: this.options.incarnation,
      ready: this.isReady(),
      configuration: this.configuration?.version ?? null,
      owner: state.claim ?? null,
      owning: this.ownership.isOwning(),
      holdsReplica: this.isHoldingReplica,
      contactAgeMs: Math.round(this.peerTracker.contactAgeMs()),
      loopDelayMs: Math.round(this.loopDelayMonitor.delayMs()),
      replica: {
        nextOffset: state.nextOffset,
        ageMs: Math.round(this.replica.ageMs()),
        jobs: state.jobs.size,
        ended: state.ended.size,
        cellTimeMs: state.cellTimeMs,
      },
      cell: this.term?.describe() ?? null,
      peers: this.options.peers.describe(),
    };
  }

  /** Returns the state of a job according to the replica of this process, for operators. */
  describeJob(id: string): ReturnType<typeof jobInspection.describe> {
    return jobInspection.describe(id, this.createInspectionOptions());
  }

  /** Explains to operators why a job waits. Only the owner can. */
  explainJob(id: string): ReturnType<typeof jobInspection.explain> {
    return jobInspection.explain(id, this.createInspectionOptions());
  }

  /** Tells operators where a job would go now, without submitting it. */
  explainPlacement(job: CellJob): ReturnType<typeof inspectPlacement> {
    return inspectPlacement(job, this.front, this.term, this.peerTracker.newestClaim());
  }

  private createInspectionOptions(): Parameters<typeof jobInspection.explain>[1] {
    const { term } = this;
    return {
      state: () => (this.isHoldingReplica ? this.replica.state : undefined),
      replicaAgeMs: () => this.replica.ageMs(),
      sync: (timeoutMs) => this.replica.sync(timeoutMs),
      findOwner: () => this.replica.state.claim,
      explain: term === undefined ? undefined : (jobId) => term.explainJob(jobId),
    };
  }

  private observeRecord(record: CellRecord, isEffective: boolean): void {
    if (record.kind === 'job') this.front.observeJob(record.job.id);
    this.ownership.observe(record, isEffective);
    this.term?.observe(record, isEffective);
  }

  private startOwning(token: number, claimSentAt: Instant): void {
    const { log } = this.options;
    this.stopOwning('claimed again');
    this.ranking.clearReportedLargestCores();
    this.standbys = [];
    this.standbysChosenAtMs = Number.NEGATIVE_INFINITY;
    log('info', 'owner-started', { token, jobs: this.replica.state.jobs.size });
    this.loopDelayMonitor.setFrequent(true);
    this.term = OwnerTerm.create({
      ...this.options,
      snapshots: this.snapshots,
      workers: this.workers,
      replica: this.replica,
      token,
      claimSentAt,
      loopDelayMs: () => this.loopDelayMonitor.delayMs(),
      teams: () => this.configuration?.teams,
      onFenced: (by) => {
        this.ownership.endOwnership(`fenced by the ${by}`);
      },
    });
    this.term.start();
    const claim = this.copyNewestClaim();
    if (claim !== null) this.peerTracker.announceOwner(claim);
    this.updateStandbys();
  }

  private stopOwning(reason: string): void {
    if (this.term === undefined) return;
    this.options.log('info', 'owner-stopped', { reason });
    this.term.stop();
    this.term = undefined;
    this.loopDelayMonitor.setFrequent(false);
  }

  private scheduleContact(): void {
    const intervalMs =
      (this.isHoldingReplica ? CONTACT_INTERVAL_MS : NO_REPLICA_CONTACT_INTERVAL_MS) +
      OWNER_LOOP_DELAY_FACTOR * this.peerTracker.ownerLoopDelayMs() +
      this.options.claimJitterMs * CONTACT_JITTER_SHARE;
    this.options.clock.after(intervalMs, () => {
      if (this.isStopping) return;
      void this.peerTracker.contactOwner();
      void this.handOverToLargerMachine();
      if (this.isHoldingReplica && this.replica.contactAgeMs() > MAX_LOG_AGE_BEFORE_QUERY_MS)
        void this.peerTracker.queryReplicas();
      if (
        !this.isHoldingReplica &&
        this.peerTracker.contactAgeMs() > MAX_CONTACT_AGE_BEFORE_HINT_MS
      )
        void this.readHint();
      this.applyReplicaPolicy();
      this.updateStandbys();
      this.scheduleContact();
    });
  }

  /**
   * Reads the owner hint from the store when no other process names the owner; the call also shows whether
   * the store answers.
   */
  private async readHint(): Promise<void> {
    const hint = await ownerHint.read(this.options.store, this.options.topics.hints);
    if (hint === null || hint === undefined) return;
    this.peerTracker.adoptNewerClaim(hint.claim);
    this.peerTracker.replaceStandbys(hint.standbys);
  }

  /** Loads or drops the replica as the replica policy decides. */
  private applyReplicaPolicy(): void {
    const isHolding = this.replicaPolicy.decide({
      contactAgeMs: this.peerTracker.contactAgeMs(),
      isOwning: this.term !== undefined,
      isOutranked: this.ranking.isOutranked(),
    });
    if (isHolding === this.isHoldingReplica) return;
    this.isHoldingReplica = isHolding;
    this.options.log('info', isHolding ? 'replica-loading' : 'replica-dropped', {
      contactAgeMs: Math.round(this.peerTracker.contactAgeMs()),
      owner: this.peerTracker.newestClaim()?.owner ?? null,
    });
    if (isHolding) {
      this.workers.startFollowing();
      this.replica.resume();
      this.ownership.start();
    } else {
      this.ownership.pause();
      this.workers.stopFollowing();
      this.replica.pause();
    }
  }

  /**
   * Applies a reply from the address of the owner named in `claim`; another incarnation there shows that the
   * owner has ended.
   */
  private applyOwnerReply(
    claim: { owner: string },
    reply: PeerCallMap['offer-help']['reply'],
  ): void {
    this.ranking.setReportedLargestCores(reply.largestCores);
    if (reply.isStandby !== null) this.replicaPolicy.setChosen(reply.isStandby);
    if (reply.life !== claim.owner) this.ownership.suspect(claim.owner, 'replaced');
    // Part of the time for which a busy owner waits is its own event-loop delay.
    else if (
      reply.storeSilentMs >
      MAX_OWNER_STORE_OUTAGE_MS + STORE_OUTAGE_LOOP_DELAY_FACTOR * reply.loopDelayMs
    )
      void this.checkStoreRefusesOwner(claim.owner);
    else this.ownership.recordOwnerContact(claim.owner);
  }

  /**
   * Called when the owner has waited long for the store. Suspects the owner if the store answers this process
   * quickly: in that case the store refuses the calls of the owner and is not slow for all processes.
   */
  private async checkStoreRefusesOwner(owner: string): Promise<void> {
    const { clock, store, topics } = this.options;
    if (!this.isHoldingReplica) return;
    const sentAtMs = clock.monotonicMs();
    const result = await store.read(topics.cell, this.replica.state.nextOffset, 0);
    if (result.kind !== 'failed' && clock.monotonicMs() - sentAtMs < QUICK_RESPONSE_MS)
      this.ownership.suspect(owner, 'rejected-by-store');
  }

  /**
   * While this process owns the cell: chooses the standbys at an interval, and writes a changed choice to
   * the owner hint.
   */
  private updateStandbys(): void {
    const { clock, store, replicas, dataCentre, log } = this.options;
    const nowMs = clock.monotonicMs();
    const claim = this.replica.state.claim;
    if (
      this.term === undefined ||
      claim === undefined ||
      nowMs - this.standbysChosenAtMs < STANDBY_CHOICE_INTERVAL_MS
    )
      return;
    const isFirst = this.standbysChosenAtMs === Number.NEGATIVE_INFINITY;
    this.standbysChosenAtMs = nowMs;
    const chosen = chooseStandbys({
      candidates: this.ranking.listRecent(),
      ownDataCentre: dataCentre,
      current: new Set(this.standbys.map(([address]) => address)),
      ...replicas,
    }).map(({ address, dataCentre: standbyDataCentre }) => [address, standbyDataCentre] as const);
    const joinAddresses = (list: typeof this.standbys): string =>
      list
        .map(([address]) => address)
        .sort()
        .join();
    if (!isFirst && joinAddresses(chosen) === joinAddresses(this.standbys)) return;
    this.standbys = chosen;
    // Once another process owns the cell, this process queries the standbys for its address.
    this.peerTracker.replaceStandbys(chosen);
    log('info', 'standbys-chosen', { standbys: joinAddresses(chosen) });
    const { owner, address, token } = claim;
    const hint = ownerHint.toRecord({
      claim: { owner, address, token },
      standbys: chosen,
      largestCores: this.ranking.largestCores(),
    });
    this.term.writeHint(store.encodeKeyed(hint));
  }

  /** Time in ms for which a response of the store has been overdue; 0 when none is. */
  private storeOutageMs(): number {
    return this.options.store.outageMs();
  }

  /** Records that another process runs and offers help; returns the state of this process for the reply. */
  private answerOffer(
    offer: PeerCallMap['offer-help']['request'],
  ): PeerCallMap['offer-help']['reply'] {
    const { address, cores, dataCentre, configurationVersion } = offer;
    if (configurationVersion !== undefined)
      this.configurationKeeper.observeVersion(address, configurationVersion);
    this.ranking.addReport(address, { cores, dataCentre });
    this.term?.addHelper(address, requestAdviceThrough(this.options.peers, address));
    const isCurrent = this.isHoldingReplica && this.replica.contactAgeMs() < MAX_READY_LOG_AGE_MS;
    const appendTimeMs = this.term?.appendTimeMs();
    return {
      life: this.incarnationName,
      storeSilentMs: this.storeOutageMs(),
      largestCores: this.ranking.largestCores(),
      loopDelayMs: this.loopDelayMonitor.delayMs(),
      claim: this.copyNewestClaim(),
      standbys: this.term === undefined ? this.peerTracker.knownStandbys() : this.standbys,
      others: this.listAddressesFor(address),
      isStandby: this.isChosenStandby(address),
      pending: isCurrent
        ? [...this.replica.state.pendingCounts].filter(([, count]) => count > 0)
        : null,
      pendingAgeMs: wireAge.encode(this.replica.ageMs()),
      openJobBytes: isCurrent ? this.replica.state.openJobBytes : null,
      ...(appendTimeMs === undefined ? {} : { appendTimeMs }),
      ...this.configurationKeeper.describeVersionFor(configurationVersion),
      ...this.teamLimits.answerOffer(offer),
    };
  }

  /**
   * Whether the process at the address is a standby; null while this process is not the owner, or has owned
   * the cell too briefly for all processes to have reported themselves.
   */
  private isChosenStandby(address: string): boolean | null {
    if (this.term?.areReportsComplete() !== true) return null;
    return this.standbys.some(([standby]) => standby === address);
  }

  /**
   * Addresses of all processes for a standby, which announces itself to them when it becomes owner; empty
   * for others.
   */
  private listAddressesFor(address: string): readonly string[] {
    if (this.isChosenStandby(address) !== true) return [];
    const nowMs = this.options.clock.monotonicMs();
    if (
      nowMs - (this.addressesSentAtMs.get(address) ?? Number.NEGATIVE_INFINITY) <
      SEND_ADDRESSES_INTERVAL_MS
    )
      return [];
    this.addressesSentAtMs.set(address, nowMs);
    return this.ranking.listRecent().map((other) => other.address);
  }

  /** State of a job for a query of another process; undefined while the replica here is not current. */
  private async answerJobState(
    job: string,
  ): Promise<PeerCallMap['relay-outcome']['reply'] | undefined> {
    if (!this.isHoldingReplica || this.replica.contactAgeMs() > MAX_READY_LOG_AGE_MS)
      return undefined;
    const knownState = this.jobStateOf(job);
    if (knownState !== undefined) return { outcome: knownState, isAbsent: false };
    const isCurrent = await this.jobStateSync.run();
    const stateAfterSync = this.jobStateOf(job);
    if (stateAfterSync !== undefined) return { outcome: stateAfterSync, isAbsent: false };
    return isCurrent ? { outcome: '', isAbsent: true } : undefined;
  }

  /** Appends a record of a client; the owner appends it together with its own records. */
  private async appendForClient(data: Uint8Array): Promise<AppendOutcome> {
    const appended = await this.term?.appendForClient(data);
    return appended ?? this.appender.append([data]);
  }

  /**
   * Records of the log for a follower; undefined unless this process owns the cell, its replica is current
   * and it still keeps the records.
   */
  private async readLogForFollower(call: {
    from: number;
    waitMs: number;
  }): Promise<PeerCallMap['read-log']['reply'] | undefined> {
    const { replica } = this;
    const { clock } = this.options;
    const receivedAtMs = clock.monotonicMs();
    const isCurrent = (): boolean =>
      this.term !== undefined && replica.contactAgeMs() < MAX_SERVED_LOG_AGE_MS;
    if (!isCurrent()) return undefined;
    if (replica.state.nextOffset <= call.from)
      await replica.waitForOffset(call.from + 1, call.waitMs);
    const records = replica.recordsFrom(call.from);
    if (records === undefined || !isCurrent()) return undefined;
    return {
      end: replica.state.nextOffset,
      records,
      ageMs: wireAge.encode(replica.ageMs()),
      heldMs: clock.monotonicMs() - receivedAtMs,
    };
  }

  /** The newest claim, for replies to processes that cannot read it from the log; null for none. */
  private copyNewestClaim(): PeerCallMap['offer-help']['reply']['claim'] {
    const claim = this.peerTracker.newestClaim();
    if (claim === undefined) return null;
    const { owner, address, token } = claim;
    return { owner, address, token };
  }

  /**
   * Address of the owner, through which the log is to be read if the owner's renewals are not overdue or
   * other processes have named it. Undefined when the store is to be read.
   */
  private findLogSourceAddress(): string | undefined {
    const isNamedByOthers = this.peerTracker.isAheadOfReplica();
    return isNamedByOthers || this.ownership.isOwnerAlive()
      ? this.peerTracker.ownerAddress()
      : undefined;
  }
}
