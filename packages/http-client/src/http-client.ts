import { randomBytes } from 'node:crypto';
import type { ClientSettings } from './client-settings.js';
import { ConnectionPool } from './connection-pool.js';
import type { ExchangeRequest } from './exchange-request.js';
import type { ExchangeResult } from './exchange-result.js';

/**
 * Sends HTTP requests over keep-alive connections, whose number is limited and which are probed while
 * idle. Never sends a request twice.
 */
export class HttpClient {
  static create(settings: ClientSettings): HttpClient {
    return new HttpClient(settings);
  }

  private readonly pools = new Map<string, ConnectionPool>();
  private readonly idPrefix = randomBytes(6).toString('hex');
  private nextId = 0;
  private replacedConnections = 0;
  private unknownResults = 0;
  private isClosed = false;

  private constructor(private readonly settings: ClientSettings) {}

  /** Sends one request and waits for a complete reply until `request.timeoutMs` is over. */
  async call(address: string, request: ExchangeRequest): Promise<ExchangeResult> {
    if (this.isClosed) return { type: 'not-sent', reason: 'the client is closed' };
    const deadlineAtMs = this.settings.clock.monotonicMs() + request.timeoutMs;
    const pool = this.getPool(address, request.longPoll ?? false);
    const requestId = request.requestId ?? this.createRequestId();
    const result = await pool.runExchange(deadlineAtMs, (connection) => {
      const headers = this.createHeaders(requestId);
      // Computed when the connection is open, so that the stated time excludes the wait for the connection.
      const remainingMs = Math.max(0, deadlineAtMs - this.settings.clock.monotonicMs());
      if (request.statesDeadline === true)
        headers['x-deadline-ms'] = String(Math.floor(remainingMs));
      return connection.exchange(request, headers, requestId, deadlineAtMs);
    });
    if (result.type === 'unknown') this.unknownResults += 1;
    return result;
  }

  /** Returns totals since the client was created and the current number of open connections. */
  counters(): { replacedConnections: number; unknownResults: number; openConnections: number } {
    let openConnections = 0;
    for (const pool of this.pools.values()) openConnections += pool.openConnections;
    return {
      replacedConnections: this.replacedConnections,
      unknownResults: this.unknownResults,
      openConnections,
    };
  }

  /** Closes all connections, which ends the exchanges on them; later calls return `not-sent`. */
  close(): void {
    this.isClosed = true;
    for (const pool of this.pools.values()) pool.close();
    this.pools.clear();
  }

  private createRequestId(): string {
    this.nextId += 1;
    return `${this.idPrefix}-${this.nextId}`;
  }

  private createHeaders(requestId: string): Record<string, string> {
    return { 'x-process': this.settings.process, 'x-request-id': requestId };
  }

  private getPool(address: string, longPoll: boolean): ConnectionPool {
    // Ordinary calls and long-poll reads to one address use separate pools.
    const poolKey = longPoll ? `${address}#poll` : address;
    const existing = this.pools.get(poolKey);
    if (existing !== undefined) return existing;
    this.removeUnusedPools();
    const { settings } = this;
    const pool = ConnectionPool.create({
      clock: settings.clock,
      address,
      maxConnections:
        (longPoll ? settings.maxPollConnections : settings.maxConnections) ?? (longPoll ? 64 : 8),
      maxIdle: settings.maxIdle ?? 6,
      probeEveryMs: settings.probeEveryMs ?? 2_000,
      probeTimeoutMs: settings.probeTimeoutMs ?? 500,
      idleCloseMs: settings.idleCloseMs ?? 30_000,
      probe: (connection, deadlineAtMs) => {
        const id = this.createRequestId();
        const request: ExchangeRequest = { method: 'GET', path: '/probe', timeoutMs: 0 };
        return connection.exchange(request, this.createHeaders(id), id, deadlineAtMs);
      },
      onReplaced: () => {
        this.replacedConnections += 1;
      },
    });
    this.pools.set(poolKey, pool);
    return pool;
  }

  /** Removes empty pools; pools for the addresses of removed VMs would otherwise accumulate. */
  private removeUnusedPools(): void {
    for (const [poolKey, pool] of this.pools) if (pool.isUnused) this.pools.delete(poolKey);
  }
}
