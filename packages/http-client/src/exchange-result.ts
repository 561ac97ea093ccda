/** Result of one HTTP exchange. */
export type ExchangeResult =
  /** A complete reply whose request id matches. */
  | {
      type: 'reply';
      status: number;
      headers: Readonly<Record<string, string>>;
      body: Buffer;
    }
  /** No byte of the request was passed to a connection. */
  | { type: 'not-sent'; reason: string }
  /** A byte may have been sent, and no complete reply to this request was received in time. */
  | { type: 'unknown'; reason: string };
