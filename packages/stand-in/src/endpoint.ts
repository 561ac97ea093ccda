import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { randomBytes, randomInt } from 'node:crypto';
import type { Clock } from '@acaciahoist/clock';
import { deliverResponse } from './deliver-response.js';
import type { EndpointResponse } from './endpoint-response.js';
import type { EndpointRequest } from './endpoint-request.js';
import { createErrorResponse } from './create-error-response.js';
import type { History } from './history.js';
import { createJsonResponse } from './create-json-response.js';
import { LinkFaults } from './link-faults.js';
import { readBody } from './read-body.js';

interface EndpointSettings {
  clock: Clock;
  history: History;
  host: string;
  port: number;
  maxBodyBytes: number;
  maxConnections?: number;
  handle: (request: EndpointRequest) => EndpointResponse | Promise<EndpointResponse>;
  /** Paths that no connection fault affects. */
  faultExemptPaths?: readonly string[];
}

const MALFORMED_REQUEST_RESPONSE = createErrorResponse(
  400,
  'bad-request',
  'the request is not valid HTTP',
);

/**
 * Longer than the time after which clients close idle connections, so that a client never sends a
 * request on a connection that the endpoint is closing.
 */
const KEEP_ALIVE_MS = 180_000;

/** Time for which an endpoint that opens again tries to get its former port. */
const REOPEN_TIMEOUT_MS = 10_000;

/** Time between two attempts of an endpoint to get its former port. */
const REOPEN_RETRY_MS = 50;

/** HTTP server of one member. Each time it opens, a new incarnation begins. */
export class Endpoint {
  static create(settings: EndpointSettings): Endpoint {
    return new Endpoint(settings);
  }

  readonly faults = LinkFaults.create();
  /** Address `ip:port`; empty before the endpoint opens for the first time. */
  address = '';
  /** Random id of the current incarnation. */
  incarnation = '';
  private server: Server | undefined;
  /**
   * Difference between this incarnation's clock and the clock of the settings. The clock of each
   * incarnation has its own origin, as on separate machines.
   */
  clockOffsetMs = 0;
  private readonly sockets = new Set<Socket>();

  private constructor(private readonly settings: EndpointSettings) {}

  get isListening(): boolean {
    return this.server !== undefined;
  }

  /** Time of this incarnation's monotonic clock, which responses state in `x-clock-ms`. */
  clockMs(): number {
    return this.settings.clock.monotonicMs() + this.clockOffsetMs;
  }

  /** Starts to listen; after a `close`, on the same port as before. */
  async open(): Promise<void> {
    const { history, host, maxConnections } = this.settings;
    const server = createServer((request, serverResponse) => {
      void this.serveRequest(request, serverResponse);
    });
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    server.maxConnections = maxConnections ?? 10_000;
    server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    server.on('drop', () => {
      history.add(this.address, { type: 'connection-refused' });
    });
    server.on('clientError', (_error, socket) => {
      if (!socket.writable) return;
      const head = `HTTP/1.1 400 Bad Request\r\ncontent-type: application/json\r\nconnection: close\r\n`;
      socket.end(
        `${head}content-length: ${MALFORMED_REQUEST_RESPONSE.body.length}\r\n\r\n${Buffer.from(MALFORMED_REQUEST_RESPONSE.body).toString()}`,
      );
    });
    const port = this.address === '' ? this.settings.port : Number(this.address.split(':')[1]);
    await this.listen(server, port);
    this.server = server;
    this.address = `${host}:${(server.address() as AddressInfo).port}`;
    this.incarnation = randomBytes(8).toString('hex');
    this.clockOffsetMs = randomInt(1_000_000);
    history.add(this.address, { type: 'endpoint-up', incarnation: this.incarnation });
  }

  /**
   * Listens on a port. When the endpoint opens again, it retries until `REOPEN_TIMEOUT_MS`, since
   * an outgoing connection of any process may have taken the port meanwhile.
   */
  private async listen(server: Server, port: number): Promise<void> {
    const { clock, host } = this.settings;
    const isReopening = this.address !== '';
    const retryUntilMs = clock.monotonicMs() + (isReopening ? REOPEN_TIMEOUT_MS : 0);
    for (;;) {
      const error = await new Promise<Error | undefined>((resolve) => {
        server.once('error', resolve);
        server.listen(port, host, () => {
          server.off('error', resolve);
          resolve(undefined);
        });
      });
      if (error === undefined) return;
      if (clock.monotonicMs() >= retryUntilMs) throw error;
      await new Promise<void>((resolve) => clock.after(REOPEN_RETRY_MS, resolve));
    }
  }

  /** Stops listening and closes every connection immediately. */
  async close(): Promise<void> {
    const { server } = this;
    if (server === undefined) return;
    this.server = undefined;
    this.settings.history.add(this.address, { type: 'endpoint-down' });
    await new Promise<void>((resolve) => {
      server.close(() => {
        resolve();
      });
      for (const socket of this.sockets) socket.destroy();
    });
  }

  /**
   * Sets what is lost of the calls on the connections that are open now; new ones are not affected.
   */
  setOpenConnectionLoss(loss: 'none' | 'request' | 'response'): void {
    this.faults.setSocketLoss(this.sockets, loss);
  }

  /** Serves one HTTP request with the faults that are in force before and after its effect. */
  private async serveRequest(
    message: IncomingMessage,
    serverResponse: ServerResponse,
  ): Promise<void> {
    serverResponse.sendDate = false;
    const { clock, history } = this.settings;
    const receivedMs = clock.monotonicMs();
    const server = this.server;
    try {
      const body = await readBody(message, this.settings.maxBodyBytes);
      const request = this.parseRequest(message, body ?? Buffer.alloc(0), receivedMs);
      const isExempt = this.settings.faultExemptPaths?.includes(request.path) ?? false;
      const lossBeforeEffect = isExempt
        ? 'none'
        : this.faults.findLoss(request.process, message.socket);
      if (lossBeforeEffect === 'request') {
        this.recordDroppedCall(request, 'before');
        return;
      }
      if (!isExempt) await this.faults.waitWhileFrozen();
      if (server === undefined || this.server !== server) return;
      const response =
        body === undefined
          ? createErrorResponse(413, 'bad-request', 'the body is too large')
          : await this.handleRequest(request);
      const delayMs = (response.delayMs ?? 0) + (isExempt ? 0 : this.faults.responseDelayMs);
      if (delayMs > 0) await new Promise<void>((resolve) => clock.after(delayMs, resolve));
      if (!isExempt) await this.faults.waitWhileFrozen();
      // A fault that was set while the request was served also loses its response.
      const lossAfterEffect = isExempt
        ? 'none'
        : this.faults.findLoss(request.process, message.socket);
      if (lossAfterEffect !== 'none') {
        this.recordDroppedCall(request, 'after');
        return;
      }
      deliverResponse(serverResponse, response, this.createIdentityHeaders(message));
    } catch (error) {
      history.add(this.address, { type: 'internal-error', message: String(error) });
      deliverResponse(
        serverResponse,
        createErrorResponse(500, 'internal', 'internal error'),
        this.createIdentityHeaders(message),
      );
    }
  }

  private handleRequest(request: EndpointRequest): EndpointResponse | Promise<EndpointResponse> {
    if (request.path !== '/probe') return this.settings.handle(request);
    if (request.method !== 'GET')
      return createErrorResponse(405, 'bad-request', 'the method must be GET');
    return createJsonResponse(200, { incarnation: this.incarnation });
  }

  private parseRequest(
    message: IncomingMessage,
    body: Buffer,
    receivedMs: number,
  ): EndpointRequest {
    const target = message.url ?? '/';
    const queryStart = target.indexOf('?');
    return {
      method: message.method ?? '',
      path: queryStart < 0 ? target : target.slice(0, queryStart),
      query: new URLSearchParams(queryStart < 0 ? '' : target.slice(queryStart + 1)),
      headers: message.headers,
      body,
      process: String(message.headers['x-process'] ?? ''),
      receivedMs,
    };
  }

  /** Creates the headers that every response has: request id, incarnation and clock. */
  private createIdentityHeaders(message: IncomingMessage): Record<string, string> {
    const requestId = message.headers['x-request-id'];
    return {
      ...(typeof requestId === 'string' ? { 'x-request-id': requestId } : {}),
      'x-incarnation': this.incarnation,
      'x-clock-ms': this.clockMs().toFixed(3),
    };
  }

  private recordDroppedCall(request: EndpointRequest, when: 'before' | 'after'): void {
    this.settings.history.add(this.address, {
      type: 'call-dropped',
      process: request.process,
      path: request.path,
      when,
    });
  }
}
