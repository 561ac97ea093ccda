/** An HTTP response with its complete body. */
export interface HttpAnswer {
  status: number;
  headers: Readonly<Record<string, string>>;
  body: Uint8Array;
}
