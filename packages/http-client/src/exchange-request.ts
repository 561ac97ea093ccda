/** One HTTP request to an address. */
export interface ExchangeRequest {
  method: 'GET' | 'POST';
  /** Path with query. */
  path: string;
  headers?: Readonly<Record<string, string>>;
  body?: Uint8Array;
  /** Timeout of the whole exchange, including the wait for a connection. */
  timeoutMs: number;
  /** Whether the remaining time is sent in the header `x-deadline-ms`. Default false. */
  statesDeadline?: boolean;
  /** Value of the header `x-request-id`. Default: a random prefix of the client and a counter. */
  requestId?: string;
  /** A reply with a longer body is dropped and the result is `unknown`. Default 4 MiB. */
  maxResponseBytes?: number;
  /** True for a read that waits at the server; such reads use separate connections. Default false. */
  longPoll?: boolean;
}
