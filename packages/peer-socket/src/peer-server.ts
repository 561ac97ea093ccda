import Result from 'true-myth/result';
import { WebSocketServer, type WebSocket } from 'ws';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import { frameCodec } from '@acaciahoist/peer-protocol/frame-codec';
import type { PeerFrame } from '@acaciahoist/types/peer-frame';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import { parsePeerAddress } from './parse-peer-address.js';

/** WebSocket close code "unsupported data". */
const CLOSE_UNSUPPORTED_DATA = 1003;

/** Answers one call. The shape of the body was checked for the call type. */
type CallHandler = (
  type: string,
  body: unknown,
  from: ProcessIdentity,
  timeoutMs: number,
) => Promise<Result<unknown, Failure>>;

interface Options {
  identity: ProcessIdentity;
  listen: string;
  /** Connections above this number are closed. Each peer needs one, so more indicate a fault or an attack. */
  maxConnections: number;
  handle: CallHandler;
  onMalformedFrame: (message: string) => void;
}

/** Accepts connections of other processes and answers their calls. */
export class PeerServer {
  static create(options: Options): PeerServer {
    return new PeerServer(options);
  }

  private server: WebSocketServer | undefined;
  private inFlightCalls = 0;
  private idleWaiters: (() => void)[] = [];
  bytesSent = 0;
  bytesReceived = 0;

  private constructor(private readonly options: Options) {}

  /** Resolves when the server is listening; rejects when it cannot listen, such as on an address in use. */
  start(): Promise<void> {
    const { host, port } = parsePeerAddress(this.options.listen);
    const server = new WebSocketServer({
      host,
      port,
      maxPayload: frameCodec.maxFrameBytes,
      perMessageDeflate: false,
    });
    this.server = server;
    server.on('connection', (ws) => {
      this.acceptConnection(ws);
    });
    return new Promise((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
  }

  /** Returns the bound address `ip:port`, which differs from the setting when that has port 0. */
  address(): string {
    const boundAddress = this.server?.address();
    if (boundAddress === null || boundAddress === undefined || typeof boundAddress === 'string')
      return '';
    return `${boundAddress.address}:${boundAddress.port}`;
  }

  /** Waits until all received calls are answered, then closes the connections. */
  async stop(): Promise<void> {
    if (this.inFlightCalls > 0)
      await new Promise<void>((resolve) => this.idleWaiters.push(resolve));
    const server = this.server;
    if (server === undefined) return;
    for (const ws of server.clients) ws.terminate();
    await new Promise((resolve) => {
      server.close(resolve);
    });
  }

  private acceptConnection(ws: WebSocket): void {
    if ((this.server?.clients.size ?? 0) > this.options.maxConnections) {
      ws.terminate();
      return;
    }
    // Errors need no handling: ws closes the connection after one, and the server keeps no state for it.
    ws.on('error', () => undefined);
    ws.on('message', (data: Buffer) => {
      this.bytesReceived += data.byteLength;
      const frame = frameCodec.decode(data);
      if (frame.isErr) {
        this.options.onMalformedFrame(frame.error.message);
        ws.close(CLOSE_UNSUPPORTED_DATA, 'malformed frame');
        return;
      }
      if (frame.value.kind === 'call') void this.answerCall(ws, frame.value);
    });
  }

  private async answerCall(ws: WebSocket, call: PeerFrame): Promise<void> {
    this.inFlightCalls += 1;
    const result = await this.handleCall(call);
    this.inFlightCalls -= 1;
    const reply: PeerFrame = {
      id: call.id,
      kind: result.isOk ? 'reply' : 'error',
      from: this.options.identity,
      type: call.type,
      body: result.isOk
        ? result.value
        : { kind: result.error.kind, message: result.error.message, details: result.error.details },
      deadlineMs: 0,
    };
    const data = frameCodec.encode(reply);
    this.bytesSent += data.byteLength;
    if (ws.readyState === ws.OPEN) ws.send(data);
    if (this.inFlightCalls > 0) return;
    const waiters = this.idleWaiters;
    this.idleWaiters = [];
    for (const resolve of waiters) resolve();
  }

  private async handleCall(call: PeerFrame): Promise<Result<unknown, Failure>> {
    if (call.type === 'probe') return Result.ok({});
    try {
      return await this.options.handle(call.type, call.body, call.from, call.deadlineMs);
    } catch (error) {
      const message = error instanceof Error ? error.message : 'unexpected error';
      return Result.err(Failure.create(ErrorKind.internal, message));
    }
  }
}
