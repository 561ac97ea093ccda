import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import type { Clock } from '@acaciahoist/clock';
import { SystemClock } from '@acaciahoist/clock/system-clock';
import type { HttpResponse } from '@acaciahoist/types/http-response';
import type { HttpRequest } from '@acaciahoist/types/http-request';
import { ClientConnection } from './client-connection.js';
import { receiveBody } from './receive-body.js';
import { RequestMemory } from './request-memory.js';
import { ServerLimit } from './server-limit.js';

interface Options {
  /** `ip:port` */
  listen: string;
  /** Limit on the body of a request; a function when it changes while the server runs. */
  maxBodyBytes: number | (() => number);
  /** Memory in bytes for all requests that are being received or answered; `DEFAULT_REQUEST_MEMORY_BYTES` or more. */
  maxRequestMemoryBytes?: number;
  maxConnections: number;
  /** Time within which the whole request must be received. */
  requestTimeoutMs: number;
  /** Time without a request after which a connection is closed. Node's default when absent. */
  idleTimeoutMs?: number;
  /** Measures how long a client takes its response. The clock of the machine when absent. */
  clock?: Clock;
  handle: (request: HttpRequest) => Promise<HttpResponse>;
  /** Runs whenever a client exceeds a limit. */
  onLimitExceeded?: (limit: ServerLimit) => void;
  /** Runs with the message of an unexpected error; its request is answered with status 500. */
  onUnexpectedError: (message: string) => void;
}

/** Turns of the event loop without an arrival after which nothing waits to be accepted or read. */
const QUIET_TURNS = 3;
/** Node lets the system keep 511 connections; each takes a turn to be accepted, and one to be read. */
const MAX_RECEIVE_TURNS = 1_100;

/** Time after the stop for the first byte on a connection; longer than a round trip between data centres. */
const UNUSED_CONNECTION_MS = 1_000;

/** 128 requests with the largest body of the platform, 262,144 bytes, or thousands of the usual size. */
const DEFAULT_REQUEST_MEMORY_BYTES = 33_554_432;
/** Number of bodies of the largest size for which the default has room, whatever that size is. */
const MIN_LARGEST_BODIES = 4;
/**
 * Requests on one connection that are received and not answered. Clients send one at a time; the parser reads up to
 * 65,536 bytes, thousands of requests, before it can be stopped.
 */
const MAX_PIPELINED_REQUESTS = 4;
/** Time in ms for which a response may wait for its client; 10 MB take 12 s at 7 Mbit/s. */
const RESPONSE_TIMEOUT_MS = 30_000;
/** Time in ms for which a connection may stay open before its first byte; clients keep idle ones for 15,000 ms. */
const UNUSED_IDLE_MS = 15_000;
/** Time in ms between two checks of the time limits of requests; Node's default is 30,000 ms. */
const TIME_CHECK_INTERVAL_MS = 1_000;
/** Codes of errors on a connection that its client has closed. */
const CLOSED_BY_CLIENT: ReadonlySet<string> = new Set([
  'ECONNRESET',
  'EPIPE',
  'HPE_INVALID_EOF_STATE',
]);
/** Connections beyond the limit that may be accepted in one turn, before the first of them closes another one. */
const CONNECTION_SLACK = 64;

/** HTTP server for callers and operators, with limits on requests and connections and a planned stop. */
export class HttpServer {
  static create(options: Options): HttpServer {
    return new HttpServer(options);
  }

  private readonly server: Server;
  private isClosing = false;
  /** Connections and requests that were received so far. */
  private arrivals = 0;
  /** In the order of their last use. */
  private readonly connections = new Map<Socket, ClientConnection>();
  private readonly requestMemory: RequestMemory;
  private readonly clock: Clock;

  private constructor(private readonly options: Options) {
    this.requestMemory = RequestMemory.create(
      options.maxRequestMemoryBytes ??
        Math.max(DEFAULT_REQUEST_MEMORY_BYTES, MIN_LARGEST_BODIES * this.maxBodyBytes()),
    );
    this.clock = options.clock ?? SystemClock.create();
    this.server = createServer({
      requestTimeout: options.requestTimeoutMs,
      connectionsCheckingInterval: TIME_CHECK_INTERVAL_MS,
      ...(options.idleTimeoutMs === undefined ? {} : { keepAliveTimeout: options.idleTimeoutMs }),
    });
    this.server.on('request', (request, response) => {
      this.receiveRequest(request, response, false);
    });
    this.server.on('checkContinue', (request, response) => {
      this.receiveRequest(request, response, true);
    });
    this.server.maxConnections = options.maxConnections + CONNECTION_SLACK;
    this.server.on('connection', (socket) => {
      this.arrivals += 1;
      const connection = ClientConnection.create({
        clock: this.clock,
        socket,
        answer: (received, from) => this.answerRequest(received, from),
      });
      this.connections.set(socket, connection);
      socket.once('close', () => this.connections.delete(socket));
      this.limitConnections(socket);
    });
    this.server.on('drop', () => {
      this.reportLimit(ServerLimit.connections);
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      if (socket instanceof Socket) this.refuseConnection(error, socket);
    });
  }

  /** Resolves when the server is listening; rejects when it cannot listen, such as on an address in use. */
  start(): Promise<void> {
    const colon = this.options.listen.lastIndexOf(':');
    const host = this.options.listen.slice(0, colon);
    const port = Number(this.options.listen.slice(colon + 1));
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Makes all further responses carry `connection: close`; new connections are still accepted. */
  drain(): void {
    this.isClosing = true;
  }

  /**
   * Stops accepting connections and resolves when all requests in flight are answered. Their
   * responses carry `connection: close`, so that no caller sends another request on the connection.
   */
  async stop(): Promise<void> {
    this.isClosing = true;
    await this.readReceivedRequests();
    await new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
      this.server.closeIdleConnections();
      this.limitUnfinishedRequests();
    });
  }

  /** Returns the bound address `ip:port`, which differs from the setting when that has port 0. */
  address(): string {
    const boundAddress = this.server.address();
    return boundAddress === null || typeof boundAddress === 'string'
      ? ''
      : `${boundAddress.address}:${boundAddress.port}`;
  }

  describe(): { inFlight: number; isClosing: boolean } {
    let inFlight = 0;
    for (const connection of this.connections.values()) inFlight += connection.unanswered;
    return { inFlight, isClosing: this.isClosing };
  }

  /**
   * Lets the event loop accept the connections and read the requests that have already arrived. A connection
   * whose request has not been read counts as idle, and closing it would reset it.
   */
  private async readReceivedRequests(): Promise<void> {
    let quietTurns = 0;
    for (let turn = 0; turn < MAX_RECEIVE_TURNS && quietTurns < QUIET_TURNS; turn += 1) {
      const arrivalsBefore = this.arrivals;
      await new Promise((resolve) => setImmediate(resolve));
      quietTurns = this.arrivals === arrivalsBefore ? quietTurns + 1 : 0;
    }
  }

  /**
   * Closes the connections on which no request, or only a part of one, has arrived and nothing more arrives:
   * Node does not count them as idle, and after the close of a server it enforces no limits for them.
   */
  private limitUnfinishedRequests(): void {
    for (const [socket, connection] of this.connections) {
      if (connection.isAnswering) continue;
      const { requestTimeoutMs } = this.options;
      socket.setTimeout(socket.bytesRead === 0 ? UNUSED_CONNECTION_MS : requestTimeoutMs, () => {
        if (!connection.isAnswering) socket.destroy();
      });
    }
  }

  /** Receives a request, whose answer follows those of the earlier requests on its connection. */
  private receiveRequest(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): void {
    this.arrivals += 1;
    const { socket } = request;
    const connection = this.connections.get(socket);
    // A request that was sent behind a refused one must not be executed.
    if (connection === undefined || connection.isClosing) {
      request.resume();
      return;
    }
    if (connection.unanswered >= MAX_PIPELINED_REQUESTS) {
      request.resume();
      this.reportLimit(ServerLimit.pipelining);
      connection.close();
      return;
    }
    if (socket.timeout === UNUSED_IDLE_MS) socket.setTimeout(0);
    const maxBytes = this.maxBodyBytes();
    const isTooLarge = Number(request.headers['content-length'] ?? 0) > maxBytes;
    if (expectsContinue && !isTooLarge) response.writeContinue();
    const body = receiveBody(request, {
      maxBytes,
      memory: this.requestMemory,
      evict: () => {
        this.reportLimit(ServerLimit.requestMemory);
        connection.close();
      },
    });
    connection.add({ request, response, body });
  }

  private async answerRequest(
    { request, response, body }: Parameters<ClientConnection['add']>[0],
    connection: ClientConnection,
  ): Promise<void> {
    const received = await body;
    // Nobody could receive the response on a connection that closes.
    if (received.kind === 'incomplete' || connection.isClosing) {
      if (received.kind === 'complete') received.release();
      return;
    }
    if (received.kind === 'too-large') {
      this.reportLimit(ServerLimit.bodySize);
      connection.refuse(
        '413 Payload Too Large',
        `the body is larger than ${this.maxBodyBytes()} bytes`,
      );
      return;
    }
    try {
      connection.isAnswering = true;
      // Node destroys a connection whose time limit passes, also while its request is being answered.
      if (this.isClosing) request.socket.setTimeout(0);
      this.sendResponse(response, await this.handle(request, received.body));
    } catch (error) {
      this.options.onUnexpectedError(error instanceof Error ? error.message : String(error));
      this.sendResponse(response, createTextResponse(500, 'unexpected error'));
    } finally {
      received.release();
    }
    await this.waitUntilSent(response, connection);
    connection.hasBeenAnswered = true;
    // The connections are kept in the order of their last use.
    if (this.connections.delete(request.socket) && !request.socket.destroyed)
      this.connections.set(request.socket, connection);
  }

  private handle(request: IncomingMessage, body: Uint8Array): Promise<HttpResponse> {
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(request.headers)) {
      if (typeof value === 'string') headers[name] = value;
    }
    return this.options.handle({
      method: request.method ?? 'GET',
      target: request.url ?? '/',
      headers,
      body,
      isAbandoned: () => request.socket.destroyed || request.socket.readableEnded,
    });
  }

  private sendResponse(serverResponse: ServerResponse, response: HttpResponse): void {
    if (serverResponse.headersSent || serverResponse.destroyed) return;
    const connectionHeader: Record<string, string> = this.isClosing ? { connection: 'close' } : {};
    serverResponse.writeHead(response.status, {
      ...response.headers,
      ...connectionHeader,
      'content-length': String(response.body.byteLength),
    });
    serverResponse.end(response.body);
  }

  /** Resolves when the system has taken the whole response, and closes the connection when it does not in time. */
  private waitUntilSent(response: ServerResponse, connection: ClientConnection): Promise<void> {
    if (response.destroyed) return Promise.resolve();
    // `finish` also comes for a response that the system took at once, and after Node has ended the connection of a
    // response with `connection: close`.
    return new Promise((resolve) => {
      const cancel = this.clock.after(RESPONSE_TIMEOUT_MS, () => {
        this.reportLimit(ServerLimit.responseTime);
        connection.close();
      });
      for (const event of ['finish', 'close'])
        response.once(event, () => {
          cancel();
          resolve();
        });
    });
  }

  private maxBodyBytes(): number {
    const { maxBodyBytes } = this.options;
    return typeof maxBodyBytes === 'number' ? maxBodyBytes : maxBodyBytes();
  }

  private reportLimit(limit: ServerLimit): void {
    this.options.onLimitExceeded?.(limit);
  }

  /** Answers a connection whose data is not a valid request, or whose request does not arrive in time. */
  private refuseConnection(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection === undefined || connection.isClosing) return;
    if (CLOSED_BY_CLIENT.has(error.code ?? '')) {
      connection.close();
    } else if (error.code !== 'ERR_HTTP_REQUEST_TIMEOUT') {
      this.reportLimit(ServerLimit.syntax);
      connection.refuse('400 Bad Request', 'the request is malformed or its headers are too long');
    } else if (socket.bytesRead === 0) {
      socket.setTimeout(UNUSED_IDLE_MS);
    } else {
      this.reportLimit(ServerLimit.requestTime);
      connection.refuse('408 Request Timeout', 'the request did not arrive in time');
    }
  }

  /** Closes the connection with the least use in favour of a new one when there are too many. */
  private limitConnections(newSocket: Socket): void {
    if (this.connections.size <= this.options.maxConnections) return;
    this.reportLimit(ServerLimit.connections);
    let leastUsed = newSocket;
    for (const [socket, connection] of this.connections) {
      if (connection.isAnswering || socket === newSocket) continue;
      if (leastUsed === newSocket) leastUsed = socket;
      if (!connection.hasBeenAnswered) {
        leastUsed = socket;
        break;
      }
    }
    const connection = this.connections.get(leastUsed);
    this.connections.delete(leastUsed);
    connection?.close();
  }
}

function createTextResponse(status: number, message: string): HttpResponse {
  return {
    status,
    headers: { 'content-type': 'text/plain' },
    body: new TextEncoder().encode(`${message}\n`),
  };
}
