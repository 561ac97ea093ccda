import { Result } from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import { Connection } from './connection.js';
import type { ExchangeResult } from './exchange-result.js';
import { Semaphore } from './semaphore.js';

/** Settings of a pool, with the defaults of `ClientSettings` filled in. */
interface PoolSettings {
  clock: Clock;
  address: string;
  maxConnections: number;
  maxIdle: number;
  probeEveryMs: number;
  probeTimeoutMs: number;
  idleCloseMs: number;
  /** Sends one probe over the connection. */
  probe: (connection: Connection, deadlineAtMs: number) => Promise<ExchangeResult>;
  /** Runs after a connection that did not answer a probe was closed. */
  onReplaced: () => void;
}

/** Probe intervals without a call after which an idle connection closes if another was used more recently. */
const SPARE_IDLE_PROBE_INTERVALS = 2;

/**
 * Holds the connections to one address. Each call and each probe of an idle connection holds a permit of
 * the semaphore, and a connection is opened only when none is idle. Therefore the number of connections never
 * exceeds the number of permits, except by one while a silent connection is replaced.
 */
export class ConnectionPool {
  static create(settings: PoolSettings): ConnectionPool {
    return new ConnectionPool(settings);
  }

  /** Idle connections; the most recently used is last. */
  private idleConnections: Connection[] = [];
  /** Idle connections, connections in use and connections that are being probed. */
  private readonly allConnections = new Set<Connection>();
  private readonly semaphore: Semaphore;
  private cancelMaintenance: (() => void) | undefined;
  private outstandingCalls = 0;
  private isReplacing = false;
  private isClosed = false;

  private constructor(private readonly settings: PoolSettings) {
    this.semaphore = Semaphore.create(settings.clock, settings.maxConnections);
  }

  /** True when the pool has no connection and no outstanding call. */
  get isUnused(): boolean {
    return this.allConnections.size === 0 && this.outstandingCalls === 0;
  }

  get openConnections(): number {
    return this.allConnections.size;
  }

  /** Runs one exchange on a connection; returns `not-sent` when none is available before the deadline. */
  async runExchange(
    deadlineAtMs: number,
    exchange: (connection: Connection) => Promise<ExchangeResult>,
  ): Promise<ExchangeResult> {
    this.outstandingCalls += 1;
    const isPermitted = !this.isClosed && (await this.semaphore.acquire(deadlineAtMs));
    const result = isPermitted
      ? await this.runOnConnection(deadlineAtMs, exchange)
      : {
          type: 'not-sent' as const,
          reason: `no connection to ${this.settings.address} became free before the deadline`,
        };
    if (isPermitted) this.semaphore.release();
    this.outstandingCalls -= 1;
    return result;
  }

  close(): void {
    this.isClosed = true;
    this.cancelMaintenance?.();
    this.semaphore.cancelWaiters();
    for (const connection of [...this.allConnections]) this.discard(connection);
  }

  private async runOnConnection(
    deadlineAtMs: number,
    exchange: (connection: Connection) => Promise<ExchangeResult>,
  ): Promise<ExchangeResult> {
    const reusedConnection = this.takeIdleConnection();
    if (reusedConnection !== undefined) {
      const result = await this.exchangeOver(reusedConnection, exchange);
      // The endpoint closed the idle connection before a byte was sent; a new connection may work.
      if (result.type !== 'not-sent') return result;
    }
    const connected = await this.openConnection(deadlineAtMs);
    if (connected.isOk) return this.exchangeOver(connected.value, exchange);
    return { type: 'not-sent', reason: connected.error };
  }

  private async exchangeOver(
    connection: Connection,
    exchange: (connection: Connection) => Promise<ExchangeResult>,
  ): Promise<ExchangeResult> {
    connection.lastCallAtMs = this.settings.clock.monotonicMs();
    const result = await exchange(connection);
    this.returnConnection(connection);
    // The fault that made this connection silent may affect the idle connections too.
    if (result.type === 'unknown') this.probeIdle(0);
    return result;
  }

  private takeIdleConnection(): Connection | undefined {
    for (;;) {
      const connection = this.idleConnections.pop();
      if (connection === undefined || connection.isUsable) return connection;
      this.discard(connection);
    }
  }

  private async openConnection(deadlineAtMs: number): Promise<Result<Connection, string>> {
    const { clock, address } = this.settings;
    const result = await Connection.open(clock, address, deadlineAtMs, (closed) => {
      this.removeConnection(closed);
    });
    if (result.isErr) return result;
    if (this.isClosed) {
      result.value.close();
      return Result.err('the client is closed');
    }
    this.allConnections.add(result.value);
    return result;
  }

  /** Makes a connection idle after an exchange, or closes it if it is not usable or not needed. */
  private returnConnection(connection: Connection): void {
    if (
      !connection.isUsable ||
      this.isClosed ||
      this.idleConnections.length >= this.settings.maxIdle
    ) {
      this.discard(connection);
      return;
    }
    this.idleConnections.push(connection);
    this.scheduleMaintenance();
  }

  private discard(connection: Connection): void {
    connection.close();
    this.removeConnection(connection);
  }

  /** Removes a connection that was closed by either side. */
  private removeConnection(connection: Connection): void {
    this.allConnections.delete(connection);
    this.idleConnections = this.idleConnections.filter((candidate) => candidate !== connection);
  }

  private scheduleMaintenance(): void {
    if (this.cancelMaintenance !== undefined || this.isClosed) return;
    this.cancelMaintenance = this.settings.clock.after(this.settings.probeEveryMs, () => {
      this.cancelMaintenance = undefined;
      this.maintainIdle();
    });
  }

  /** Closes idle connections that have passed their idle limit and probes the others. */
  private maintainIdle(): void {
    const nowMs = this.settings.clock.monotonicMs();
    const { idleCloseMs, probeEveryMs } = this.settings;
    const latestCallAtMs = this.idleConnections.reduce(
      (ms, { lastCallAtMs }) => Math.max(ms, lastCallAtMs),
      0,
    );
    for (const connection of [...this.idleConnections]) {
      // Connections that only a load peak needed close sooner, because each idle connection costs probes.
      const idleLimitMs =
        connection.lastCallAtMs === latestCallAtMs
          ? idleCloseMs
          : SPARE_IDLE_PROBE_INTERVALS * probeEveryMs;
      if (nowMs - connection.lastCallAtMs >= idleLimitMs) this.discard(connection);
    }
    this.probeIdle(probeEveryMs);
    if (this.allConnections.size > 0) this.scheduleMaintenance();
  }

  /** Probes the idle connections whose last reply is at least `minAgeMs` old, as far as permits are free. */
  private probeIdle(minAgeMs: number): void {
    const nowMs = this.settings.clock.monotonicMs();
    for (const connection of [...this.idleConnections]) {
      if (nowMs - connection.lastReplyAtMs < minAgeMs || !this.semaphore.tryAcquire()) continue;
      this.idleConnections.splice(this.idleConnections.indexOf(connection), 1);
      void this.probeConnection(connection).then(() => {
        this.semaphore.release();
      });
    }
  }

  /** Makes the connection idle again if it answers the probe, and replaces it otherwise. */
  private async probeConnection(connection: Connection): Promise<void> {
    const { clock, probe, probeTimeoutMs } = this.settings;
    const result = await probe(connection, clock.monotonicMs() + probeTimeoutMs);
    if (result.type === 'reply') this.returnConnection(connection);
    else await this.replaceConnection(connection);
  }

  /** Opens and probes a new connection, then closes the silent one. */
  private async replaceConnection(silentConnection: Connection): Promise<void> {
    const { clock, probe, probeTimeoutMs, onReplaced } = this.settings;
    if (!this.isReplacing && !this.isClosed) {
      this.isReplacing = true;
      const deadlineAtMs = clock.monotonicMs() + probeTimeoutMs;
      const replacement = await this.openConnection(deadlineAtMs);
      if (replacement.isOk) {
        await probe(replacement.value, deadlineAtMs);
        this.returnConnection(replacement.value);
      }
      this.isReplacing = false;
    }
    this.discard(silentConnection);
    onReplaced();
  }
}
