import { createServer, type AddressInfo, type Socket } from 'node:net';

/** A request as the raw server received it. */
interface RawRequest {
  /** Number of the connection in the order of acceptance, from 0. */
  connection: number;
  /** Request line and headers. */
  head: string;
  requestId: string;
  socket: Socket;
}

/** TCP server that answers HTTP requests with any bytes, even malformed ones. For tests only. */
export class RawServer {
  static async start(answer: (request: RawRequest) => void): Promise<RawServer> {
    const server = new RawServer(answer);
    await new Promise<void>((resolve) => server.listener.listen(0, '127.0.0.1', resolve));
    return server;
  }

  /** Returns the bytes of a complete response. */
  static createResponse(
    requestId: string,
    body: string | Buffer = '{}',
    status = '200 OK',
  ): Buffer {
    const head = `HTTP/1.1 ${status}\r\nx-request-id: ${requestId}\r\nx-incarnation: i1\r\n`;
    const contentLengthHeader = `content-length: ${Buffer.byteLength(body)}\r\n\r\n`;
    return Buffer.concat([Buffer.from(head + contentLengthHeader), Buffer.from(body)]);
  }

  /** Requests that were received completely. */
  readonly requests: RawRequest[] = [];
  receivedBytes = 0;
  /** Number of connections accepted since the start. */
  connections = 0;
  readonly sockets = new Set<Socket>();
  private readonly listener = createServer((socket) => {
    this.accept(socket);
  });

  private constructor(private readonly answer: (request: RawRequest) => void) {}

  get address(): string {
    return `127.0.0.1:${(this.listener.address() as AddressInfo).port}`;
  }

  async stop(): Promise<void> {
    const closed = new Promise((resolve) => this.listener.close(resolve));
    for (const socket of this.sockets) socket.destroy();
    await closed;
  }

  private accept(socket: Socket): void {
    const connection = this.connections;
    this.connections += 1;
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    let text = '';
    socket.on('data', (chunk) => {
      this.receivedBytes += chunk.length;
      text += chunk.toString('latin1');
      const headEnd = text.indexOf('\r\n\r\n');
      if (headEnd < 0) return;
      const head = text.slice(0, headEnd);
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      if (text.length < headEnd + 4 + length) return;
      text = text.slice(headEnd + 4 + length);
      const requestId = /x-request-id: (\S+)/i.exec(head)?.[1] ?? '';
      const request = { connection, head, requestId, socket };
      this.requests.push(request);
      this.answer(request);
    });
  }
}
