import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { HttpResponse } from '@acaciahoist/types/http-response';
import type { HttpRequest } from '@acaciahoist/types/http-request';

interface Options {
  /** `ip:port` */
  listen: string;
  maxBodyBytes: number;
  maxConnections: number;
  /** Time within which the whole request must be received. */
  requestTimeoutMs: number;
  /** Time without a request after which a connection is closed. Node's default when absent. */
  idleTimeoutMs?: number;
  handle: (request: HttpRequest) => Promise<HttpResponse>;
  /** Runs with the message of an unexpected error; its request is answered with status 500. */
  onUnexpectedError: (message: string) => void;
}

/** Turns of the event loop without an arrival after which nothing waits to be accepted or read. */
const QUIET_TURNS = 3;
/** Node lets the system keep 511 connections; each takes a turn to be accepted, and one to be read. */
const MAX_RECEIVE_TURNS = 1_100;

/** Time after the stop for the first byte on a connection; longer than a round trip between data centres. */
const UNUSED_CONNECTION_MS = 1_000;

/** HTTP server for callers and operators, with limits on requests and connections and a planned stop. */
export class HttpServer {
  static create(options: Options): HttpServer {
    return new HttpServer(options);
  }

  private readonly server: Server;
  private inFlight = 0;
  private isClosing = false;
  /** Connections and requests that were received so far. */
  private arrivals = 0;
  private readonly sockets = new Set<Socket>();
  /** Connections on which a whole request was received and is being answered. */
  private readonly answeredSockets = new Set<Socket>();

  private constructor(private readonly options: Options) {
    this.server = createServer(
      {
        requestTimeout: options.requestTimeoutMs,
        ...(options.idleTimeoutMs === undefined ? {} : { keepAliveTimeout: options.idleTimeoutMs }),
      },
      (request, response) => {
        void this.answerRequest(request, response);
      },
    );
    this.server.maxConnections = options.maxConnections;
    this.server.on('connection', (socket) => {
      this.arrivals += 1;
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    this.server.on('clientError', (_error, socket) => {
      if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n');
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
    return { inFlight: this.inFlight, isClosing: this.isClosing };
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
    for (const socket of this.sockets) {
      if (this.answeredSockets.has(socket)) continue;
      const { requestTimeoutMs } = this.options;
      socket.setTimeout(socket.bytesRead === 0 ? UNUSED_CONNECTION_MS : requestTimeoutMs, () => {
        if (!this.answeredSockets.has(socket)) socket.destroy();
      });
    }
  }

  private async answerRequest(
    request: IncomingMessage,
    serverResponse: ServerResponse,
  ): Promise<void> {
    this.inFlight += 1;
    this.arrivals += 1;
    const { socket } = request;
    try {
      const body = await this.readBody(request);
      this.answeredSockets.add(socket);
      // Node destroys a connection whose time limit passes, also while its request is being answered.
      if (this.isClosing) socket.setTimeout(0);
      if (body === undefined) {
        this.sendResponse(
          serverResponse,
          createTextResponse(413, `the body is larger than ${this.options.maxBodyBytes} bytes`),
        );
        return;
      }
      const headers: Record<string, string> = {};
      for (const [name, value] of Object.entries(request.headers)) {
        if (typeof value === 'string') headers[name] = value;
      }
      const response = await this.options.handle({
        method: request.method ?? 'GET',
        target: request.url ?? '/',
        headers,
        body,
      });
      this.sendResponse(serverResponse, response);
    } catch (error) {
      this.options.onUnexpectedError(error instanceof Error ? error.message : String(error));
      this.sendResponse(serverResponse, createTextResponse(500, 'unexpected error'));
    } finally {
      this.inFlight -= 1;
      this.answeredSockets.delete(socket);
    }
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

  /** Reads the whole body; returns undefined when it is larger than the limit. */
  private async readBody(request: IncomingMessage): Promise<Uint8Array | undefined> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.byteLength;
      if (size <= this.options.maxBodyBytes) chunks.push(chunk);
    }
    return size > this.options.maxBodyBytes ? undefined : Buffer.concat(chunks, size);
  }
}

function createTextResponse(status: number, message: string): HttpResponse {
  return {
    status,
    headers: { 'content-type': 'text/plain' },
    body: new TextEncoder().encode(`${message}\n`),
  };
}
