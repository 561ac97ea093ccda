/** An HTTP request with its complete body. */
export interface HttpRequest {
  method: string;
  /** Path with query. */
  target: string;
  headers: Readonly<Record<string, string>>;
  body: Uint8Array;
  /** True once the client has closed its connection, when the server knows this. */
  isAbandoned?: () => boolean;
}
