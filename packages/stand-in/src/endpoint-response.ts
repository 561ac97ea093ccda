/** Response of a member to one request, with the fault of its delivery. */
export interface EndpointResponse {
  status: number;
  contentType: string;
  body: Uint8Array;
  headers?: Readonly<Record<string, string>>;
  /** Delay of the response after the effect of the request. */
  delayMs?: number;
  delivery?: Delivery;
}

/** How a response reaches the client. */
type Delivery =
  | 'normal'
  /** No response; the connection stays open. */
  | 'withhold'
  /** The connection is closed without a response. */
  | 'close'
  /** Half of the body is sent, then the connection is closed. */
  | 'truncate'
  /** The body is sent in chunks and without a content-length. */
  | 'chunked'
  /** The response has the id of another request. */
  | 'wrong-id'
  /** The response is sent twice on the same connection. */
  | 'duplicate';
