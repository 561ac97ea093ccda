/** One call of the HTTP interface for callers. */
export interface ServerCall {
  method: 'GET' | 'POST' | 'DELETE';
  /** Path with the query string. */
  path: string;
  /** Sent as JSON. */
  body?: unknown;
  /** Whether the call changes nothing although its method is POST. */
  isReadOnly?: boolean;
  /** Time that the server may wait at the request of this call; it is added to the response timeout. */
  waitMs?: number;
}
