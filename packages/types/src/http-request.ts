/** An HTTP request with its complete body. */
export interface HttpRequest {
  method: string;
  /** Path with query. */
  target: string;
  headers: Readonly<Record<string, string>>;
  body: Uint8Array;
}
