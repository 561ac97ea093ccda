import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '@acaciahoist/clock';
import type { receiveBody } from './receive-body.js';

interface ReceivedRequest {
  request: IncomingMessage;
  response: ServerResponse;
  body: ReturnType<typeof receiveBody>;
}

interface Options {
  clock: Clock;
  socket: Socket;
  /** Answers a request; resolves when the response was handed to the system or the connection is closed. */
  answer: (received: ReceivedRequest, connection: ClientConnection) => Promise<void>;
}

/**
 * Time in ms for which data of a refused client is still read and dropped: a connection that is closed with unread
 * data is reset, and the client then loses the response that tells the reason.
 */
const LINGER_MS = 500;

/** A connection of a client, whose requests are answered one after the other. */
export class ClientConnection {
  static create(options: Options): ClientConnection {
    return new ClientConnection(options);
  }

  /** Whether a whole request was received on it and answered. */
  hasBeenAnswered = false;
  /** Whether a whole request was received and its response is not sent completely. */
  isAnswering = false;
  private readonly waiting: ReceivedRequest[] = [];
  private isRunning = false;
  /** The requests that wait are not executed then; their memory counts until the one before them is answered. */
  private isEnding = false;
  /** Whether the error response of a refusal was sent. */
  private isRefused = false;

  private constructor(private readonly options: Options) {}

  /** Number of requests that are not answered. */
  get unanswered(): number {
    return this.waiting.length + (this.isRunning ? 1 : 0);
  }

  /** Whether no further request of this connection is executed. */
  get isClosing(): boolean {
    const { socket } = this.options;
    return this.isEnding || socket.destroyed || socket.writableEnded;
  }

  /** Answers the request after the earlier ones. */
  add(received: ReceivedRequest): void {
    this.waiting.push(received);
    if (!this.isRunning) void this.run();
  }

  /**
   * Answers with an error and closes the connection. A request that is being answered gets its own response, since an
   * error in its place could be taken for a refusal of it; the connection is closed after it.
   */
  refuse(status: string, message: string): void {
    const { socket } = this.options;
    this.isEnding = true;
    if (this.isAnswering || this.isRefused || socket.destroyed) return;
    this.isRefused = true;
    const body = `${message}\n`;
    if (socket.writable)
      socket.end(
        `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: text/plain\r\n` +
          `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
      );
    this.linger();
  }

  /** Closes the connection at once. */
  close(): void {
    this.isEnding = true;
    this.options.socket.destroy();
  }

  /** Closes the connection when its client does not do so after it was ended. */
  private linger(): void {
    const { clock, socket } = this.options;
    const cancel = clock.after(LINGER_MS, () => socket.destroy());
    socket.once('close', cancel);
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    for (let next = this.waiting.shift(); next !== undefined; next = this.waiting.shift()) {
      await this.options.answer(next, this);
      this.isAnswering = false;
      if (this.isEnding && !this.isRefused && !this.options.socket.writableEnded) {
        this.options.socket.end();
        this.linger();
      }
    }
    this.isRunning = false;
  }
}
