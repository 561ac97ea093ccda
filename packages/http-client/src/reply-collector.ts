import type { ExchangeResult } from './exchange-result.js';

type ReplyHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Statuses whose replies have no body and need no content-length. */
const BODYLESS_STATUSES: readonly number[] = [204, 304];

/** Collects one reply and decides whether it is complete and belongs to its request. */
export class ReplyCollector {
  static create(requestId: string, maxBytes: number): ReplyCollector {
    return new ReplyCollector(requestId, maxBytes);
  }

  private status = 0;
  private headers: Record<string, string> = {};
  private expectedBytes = 0;
  private receivedBytes = 0;
  private readonly chunks: Buffer[] = [];

  private constructor(
    private readonly requestId: string,
    private readonly maxBytes: number,
  ) {}

  /** Adds status and headers. Returns the reason why the reply must be dropped, if there is one. */
  begin(status: number, headers: ReplyHeaders): string | undefined {
    if (status < 200) return undefined;
    this.status = status;
    for (const [name, value] of Object.entries(headers)) {
      if (value !== undefined) this.headers[name] = Array.isArray(value) ? value.join(', ') : value;
    }
    if (this.headers['x-request-id'] !== this.requestId) return 'the reply has another request id';
    if (BODYLESS_STATUSES.includes(status)) return undefined;
    const contentLength = this.headers['content-length'];
    if (contentLength === undefined || !/^\d{1,15}$/.test(contentLength)) {
      return `the reply has no valid content-length: ${contentLength ?? 'absent'}`;
    }
    this.expectedBytes = Number(contentLength);
    if (this.expectedBytes > this.maxBytes)
      return `the reply has ${this.expectedBytes} bytes, at most ${this.maxBytes} are allowed`;
    return undefined;
  }

  /** Adds a part of the body. Returns the reason why the reply must be dropped, if there is one. */
  add(chunk: Buffer): string | undefined {
    this.receivedBytes += chunk.length;
    if (this.receivedBytes > this.expectedBytes)
      return `the reply is longer than its content-length of ${this.expectedBytes}`;
    this.chunks.push(chunk);
    return undefined;
  }

  /** Returns the reply, or `unknown` when its body is shorter than its content-length. */
  finish(): ExchangeResult {
    if (this.receivedBytes !== this.expectedBytes) {
      return {
        type: 'unknown',
        reason: `the reply ended after ${this.receivedBytes} of ${this.expectedBytes} bytes`,
      };
    }
    const singleChunk = this.chunks.length === 1 ? this.chunks[0] : undefined;
    return {
      type: 'reply',
      status: this.status,
      headers: this.headers,
      body: singleChunk ?? Buffer.concat(this.chunks),
    };
  }
}
