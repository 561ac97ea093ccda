import { randomBytes } from 'node:crypto';
import type { Clock } from '@acaciahoist/clock';
import { parseDeclaration } from '@acaciahoist/declaration';
import { checkLayoutChange } from '@acaciahoist/declaration/check-layout-change';
import { HttpClient } from '@acaciahoist/http-client';
import { createLogStream } from '@acaciahoist/http-client/create-log-stream';
import { createRunnerClient } from '@acaciahoist/http-client/create-runner-client';
import { createVmListClient } from '@acaciahoist/http-client/create-vm-list-client';
import { createWorkerClient } from '@acaciahoist/http-client/create-worker-client';
import { HttpServer } from '@acaciahoist/http-server';
import { LimitReport } from '@acaciahoist/http-server/limit-report';
import { Membership } from '@acaciahoist/membership';
import { ConfigurationFollower } from '@acaciahoist/ownership/configuration-follower';
import { PeerClient } from '@acaciahoist/peer-socket';
import { PeerServer } from '@acaciahoist/peer-socket/peer-server';
import type { PeerCallType } from '@acaciahoist/peer-protocol/peer-call-type';
import { RequestRouter } from '@acaciahoist/request-router';
import { RetryBudget } from '@acaciahoist/request-router/retry-budget';
import { RunnerHealth } from '@acaciahoist/request-router/runner-health';
import type { EntrySettings } from '@acaciahoist/types/entry-settings';
import type { Heartbeat } from '@acaciahoist/types/heartbeat';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import { CallerService } from './caller-service.js';
import type { EntryContext } from './entry-context.js';
import type { EventLog } from '@acaciahoist/types/event-log';
import { Metrics } from './metrics.js';
import { formatHolderName } from './format-holder-name.js';
import { OperatorService } from './operator-service.js';
import { OwnerCaller } from './owner-caller.js';
import { PartitionSet } from './partition-set.js';
import { PeerService } from './peer-service.js';
import { RequestCounter } from './request-counter.js';
import { SlotClient } from './slot-client.js';
import { VmWatcher } from './vm-watcher.js';

/** Timeout of connecting to a peer and of reading its configuration; also the delay between two such reads. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Interval at which counts of requests are sent to be recorded in the account; also the timeout of a send. */
const REQUEST_COUNT_INTERVAL_MS = 1_000;
/**
 * Interval of the reads of the VM list. A leaving endpoint must receive no new work after 3 s; a shorter
 * interval would cost bandwidth, as the list is the largest part of the control traffic.
 */
const VM_LIST_INTERVAL_MS = 2_000;
/** Time within which a whole caller request must be received. */
const REQUEST_RECEIVE_TIMEOUT_MS = 30_000;
/** Each peer has one connection to the process; the rest allows for connections that replace broken ones. */
const MAX_PEER_CONNECTIONS = 512;

/** One entry process: creates and starts its parts, and stops them in a planned stop. */
export class Entry {
  static create(settings: EntrySettings, clock: Clock, log: EventLog): Entry {
    return new Entry(settings, clock, log);
  }

  private readonly context: EntryContext;
  private readonly identity: ProcessIdentity;
  private readonly http: HttpClient;
  private readonly peerClient: PeerClient;
  private readonly peerServer: PeerServer;
  private readonly httpServer: HttpServer;
  private readonly vmWatcher: VmWatcher;
  private readonly configuration: ConfigurationFollower;
  private readonly partitions: PartitionSet;
  private readonly slotClient: SlotClient;
  private readonly router: RequestRouter;
  private readonly requestCounter: RequestCounter;
  private readonly peerService: PeerService;
  private isReady = false;
  /** Resolves when `start` has bound the addresses; undefined before. */
  private listening: Promise<void> | undefined;
  private stopping: Promise<void> | undefined;

  private constructor(
    private readonly settings: EntrySettings,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {
    this.identity = {
      process: settings.peerListen,
      incarnation: randomBytes(8).toString('hex'),
      dataCentre: settings.dataCentre,
    };
    this.http = HttpClient.create({
      clock,
      process: this.identity.process,
      probeEveryMs: settings.probeMs,
      probeTimeoutMs: settings.probeTimeoutMs,
    });
    this.peerClient = PeerClient.create({
      clock,
      identity: this.identity,
      probeMs: settings.probeMs,
      probeTimeoutMs: settings.probeTimeoutMs,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      onRefused: (address) => {
        this.context.membership.recordRefusedConnection(address);
      },
    });
    this.context = this.createContext();
    this.vmWatcher = VmWatcher.create({
      clock,
      readVmList: createVmListClient({
        http: this.http,
        address: extractHost(settings.platform.vmListUrl),
      }),
      intervalMs: VM_LIST_INTERVAL_MS,
      onRead: () => {
        this.applyVmList();
      },
    });
    const ownerCaller = OwnerCaller.create({
      clock,
      ownAddress: this.identity.process,
      membership: this.context.membership,
      callPeer: (address, type, body, deadlineMs) =>
        this.peerClient.call(address, type, body, deadlineMs),
      callSelf: (type, body, deadlineMs) =>
        this.peerService.handle(type, body, this.identity, deadlineMs),
    });
    this.slotClient = SlotClient.create({
      clock,
      listPartitions: () => this.partitions.currentLayout().listInDataCentre(settings.dataCentre),
      countRunners: (partition, service) => this.partitions.countRunners(partition, service),
      callOwner: (partition, type, body, deadlineMs) =>
        ownerCaller.call(partition, type, body, deadlineMs),
    });
    const slotAccess = {
      acquire: (request: Parameters<SlotClient['acquire']>[0]) => this.slotClient.acquire(request),
      release: (grantId: string, result: Parameters<SlotClient['release']>[1]) => {
        this.slotClient.release(grantId, result);
      },
    };
    this.partitions = PartitionSet.create({
      context: this.context,
      slotAccess,
      listVms: () => this.vmWatcher.list(),
      isStopping: () => this.isStopping(),
      callPeer: (address, type, body, deadlineMs) =>
        this.peerClient.call(address, type, body, deadlineMs),
    });
    this.router = RequestRouter.create({
      clock,
      send: this.context.sendToRunner,
      health: this.context.runnerHealth,
      budget: this.context.retryBudget,
      holder: formatHolderName(this.identity),
      createId: this.context.createId,
      ...slotAccess,
    });
    this.requestCounter = RequestCounter.create({
      clock,
      identity: this.identity,
      intervalMs: REQUEST_COUNT_INTERVAL_MS,
      takeOutcomes: () => this.router.takeOutcomes(),
      sendBatch: (entry) => {
        const partition =
          this.partitions.currentLayout().findByVm(settings.dataCentre, this.identity.process) ??
          '';
        return ownerCaller.call(
          partition,
          'count-requests',
          { partition, entry },
          REQUEST_COUNT_INTERVAL_MS,
        );
      },
    });
    this.configuration = ConfigurationFollower.create({
      clock,
      log: this.context.openLogStream('configuration'),
      retentionMs: settings.retentionMs,
      accepts: acceptsDeclaration,
      jitterFraction: () => Math.random(),
    });
    this.configuration.onChange(({ text, revision, source }) => {
      this.applyConfiguration(text, revision, source);
    });
    const operatorService = OperatorService.create({
      context: this.context,
      configuration: this.configuration,
      partitions: this.partitions,
      ownerCaller,
      describe: () => this.describe(),
    });
    this.peerService = PeerService.create({
      context: this.context,
      partitions: this.partitions,
      slotClient: this.slotClient,
      describeSelf: () => this.describeSelf(),
      readConfiguration: () => {
        const { revision, text, operator } = this.configuration.current();
        return revision === 0 ? undefined : { revision, text, operator };
      },
    });
    const callerService = CallerService.create({
      context: this.context,
      partitions: this.partitions,
      ownerCaller,
      router: this.router,
      requestCounter: this.requestCounter,
      operatorService,
      isReady: () => this.isReady,
    });
    this.peerServer = PeerServer.create({
      identity: this.identity,
      listen: settings.peerListen,
      maxConnections: MAX_PEER_CONNECTIONS,
      handle: (type, body, from, deadlineMs) => this.handlePeerCall(type, body, from, deadlineMs),
      onMalformedFrame: (message) => {
        log('warn', 'bad-frame', { reason: message });
      },
    });
    const limitReport = LimitReport.create({
      clock,
      log,
      count: (name) => {
        this.context.metrics.count(name);
      },
    });
    this.httpServer = HttpServer.create({
      clock,
      listen: settings.listen,
      maxBodyBytes: settings.maxBodyBytes,
      maxConnections: settings.maxConnections,
      requestTimeoutMs: REQUEST_RECEIVE_TIMEOUT_MS,
      handle: (request) => callerService.handle(request),
      onLimitExceeded: (limit) => {
        limitReport.add('callers', limit);
      },
      onUnexpectedError: (message) => {
        log('error', 'call-fault', { reason: message });
      },
    });
  }

  /**
   * Binds the addresses, reads the configuration and becomes ready. Rejects when an address is in use. Ends
   * without becoming ready after `stop` was called.
   */
  async start(): Promise<void> {
    if (this.isStopping()) return;
    this.listening = this.listen();
    await this.listening;
    if (this.isStopping()) return;
    this.context.membership.addAddresses(this.settings.seeds, []);
    this.context.membership.start();
    void this.vmWatcher.start();
    this.requestCounter.start();
    const read = await this.configuration.follow();
    if (read.isErr && !this.isStopping()) {
      this.log('warn', 'configuration-read-failed', { kind: read.error.kind });
      await this.adoptPeerConfiguration();
    }
    if (this.isStopping()) return;
    this.isReady = true;
    this.log('info', 'ready', {
      revision: this.configuration.current().revision,
      listen: this.settings.listen,
    });
  }

  /** Stops after the requests in flight have ended. A second call returns the promise of the first. */
  stop(): Promise<void> {
    if (this.stopping !== undefined) this.log('info', 'stop-already-running');
    this.stopping ??= this.shutDown();
    return this.stopping;
  }

  describe(): Record<string, unknown> {
    return {
      membership: this.context.membership.describe(),
      owned: this.partitions.describe(),
      slots: this.slotClient.describe(),
      router: this.router.describe(),
      runners: this.context.runnerHealth.describe(),
      peers: this.peerClient.describe(),
      connections: this.http.counters(),
      vmList: this.vmWatcher.describe(),
      callers: this.httpServer.describe(),
      peerBytes: { sent: this.peerServer.bytesSent, received: this.peerServer.bytesReceived },
      memoryMib: Math.round(process.memoryUsage.rss() / 1_048_576),
    };
  }

  private createContext(): EntryContext {
    const { settings, clock, identity, log, http } = this;
    let nextId = 0;
    return {
      settings,
      clock,
      identity,
      log,
      metrics: Metrics.create(settings.metrics, settings.dataCentre),
      membership: Membership.create({
        clock,
        identity,
        heartbeatMs: settings.heartbeatMs,
        digestMs: settings.digestMs,
        random: () => Math.random(),
        call: (address, type, body, deadlineMs) =>
          this.peerClient.call(address, type, body, deadlineMs),
        describeSelf: () => this.describeSelf(),
      }),
      retryBudget: RetryBudget.create(
        clock,
        () => 1 + this.context.membership.listLivePeers().length,
      ),
      runnerHealth: RunnerHealth.create({
        clock,
        random: () => Math.random(),
        listRunners: (service) =>
          this.vmWatcher
            .list()
            .filter((vm) => vm.role === 'runner' && vm.services.includes(service))
            .map((vm) => vm.address),
      }),
      sendToRunner: createRunnerClient({ http }),
      workers: createWorkerClient({ http, clock }),
      openLogStream: (stream) =>
        createLogStream({ http, address: extractHost(settings.platform.logUrl), stream }),
      createId: () => `${identity.incarnation}-${++nextId}`,
    };
  }

  private describeSelf(): Heartbeat {
    return {
      incarnation: this.identity.incarnation,
      dataCentre: this.identity.dataCentre,
      ready: this.isReady && !this.isStopping(),
      revision: this.configuration.current().revision,
      held: this.partitions.listOwnedViews(),
    };
  }

  private handlePeerCall(
    type: string,
    body: unknown,
    from: ProcessIdentity,
    deadlineMs: number,
  ): ReturnType<PeerService['handle']> {
    // The frame codec accepts known types only and has checked the body against the shape of its type.
    return this.peerService.handle(
      type as PeerCallType,
      body as PeerCallMap[PeerCallType]['request'],
      from,
      deadlineMs,
    );
  }

  private applyConfiguration(text: string, revision: number, source: string): void {
    const parsed = parseDeclaration(text, `revision ${revision}`);
    if (parsed.isErr) {
      this.log('error', 'configuration-unreadable', { revision, faults: parsed.error.length });
      return;
    }
    this.log('info', 'configuration-in-force', { revision, source });
    this.partitions.applyDeclaration(parsed.value);
  }

  private applyVmList(): void {
    const liveEntries = this.vmWatcher
      .list()
      .filter((vm) => vm.role === 'entry' && vm.state === 'live');
    const localAddresses = liveEntries
      .filter((vm) => vm.dataCentre === this.settings.dataCentre)
      .map((vm) => vm.address);
    const remoteAddresses = liveEntries
      .filter((vm) => vm.dataCentre !== this.settings.dataCentre)
      .map((vm) => vm.address);
    this.context.membership.addAddresses(localAddresses, remoteAddresses);
    this.partitions.updateHosts();
  }

  /**
   * Reads the configuration in force from a peer, because the log is unavailable at the start. Repeats this
   * until a peer or the log answers or the process stops.
   */
  private async adoptPeerConfiguration(): Promise<void> {
    while (!this.isStopping()) {
      for (const address of this.settings.seeds) {
        if (address === this.identity.process) continue;
        const reply = await this.peerClient.call(
          address,
          'read-configuration',
          {},
          CONNECT_TIMEOUT_MS,
        );
        if (this.isStopping()) return;
        if (reply.isOk) this.configuration.adoptPeer({ ...reply.value, atMs: 0 });
      }
      if (this.configuration.current().revision > 0) return;
      // Before the first publication no peer has a configuration, so the loop also ends when the log answers.
      const read = await this.configuration.follow();
      if (read.isOk) return;
      await new Promise<void>((resolve) => this.clock.after(CONNECT_TIMEOUT_MS, resolve));
    }
  }

  private async listen(): Promise<void> {
    await this.peerServer.start();
    await this.httpServer.start();
  }

  private isStopping(): boolean {
    return this.stopping !== undefined;
  }

  private async shutDown(): Promise<void> {
    this.log('info', 'stopping');
    this.isReady = false;
    // A caller opens its next connection through the load balancer, at another process.
    this.httpServer.drain();
    // Until the load balancer has read that the process is not ready, it still sends requests.
    await new Promise<void>((resolve) => this.clock.after(this.settings.drainDelayMs, resolve));
    // A server that is bound after its stop would keep the process alive. `start` rejects with the reason of a failure.
    await this.listening?.catch(() => undefined);
    await this.httpServer.stop();
    await this.router.drain();
    await this.requestCounter.flush();
    this.requestCounter.stop();
    await this.partitions.releaseAll();
    await this.peerServer.stop();
    this.configuration.close();
    this.vmWatcher.stop();
    this.context.membership.stop();
    this.peerClient.stop();
    this.http.close();
    await this.context.metrics.stop();
    this.log('info', 'stopped');
  }
}

function extractHost(url: string): string {
  return new URL(url).host;
}

/**
 * Decides whether a publication comes into force. The rule must be the same in all versions that run
 * together, so that all processes accept the same publications.
 */
function acceptsDeclaration(text: string, inForce: string): boolean {
  const next = parseDeclaration(text, 'publication');
  if (next.isErr) return false;
  const current = parseDeclaration(inForce, 'in force');
  return current.isErr || checkLayoutChange(current.value, next.value).isOk;
}
