import type { ExchangeResult } from './exchange-result.js';

type ReplyHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Statuses that have no body and no content-length by definition. */
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

  /** Takes status and headers. Returns the reason for which the reply must be dropped, if any. */
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
      return 'the reply has no content-length';
    }
    this.expectedBytes = Number(contentLength);
    if (this.expectedBytes > this.maxBytes) return 'the reply is larger than the limit';
    return undefined;
  }

  /** Takes a part of the body. Returns the reason for which the reply must be dropped, if any. */
  add(chunk: Buffer): string | undefined {
    this.receivedBytes += chunk.length;
    if (this.receivedBytes > this.expectedBytes) return 'the reply is longer than its length';
    this.chunks.push(chunk);
    return undefined;
  }

  finish(): ExchangeResult {
    if (this.receivedBytes !== this.expectedBytes) {
      return { type: 'unknown', reason: 'the reply is shorter than its length' };
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
