import type { IncomingHttpHeaders } from 'node:http';

/** One HTTP request, parsed for the member that handles it. */
export interface EndpointRequest {
  method: string;
  path: string;
  query: URLSearchParams;
  headers: IncomingHttpHeaders;
  body: Buffer;
  /** Value of `x-process`, empty when absent. */
  process: string;
  /** Monotonic time at which the headers of the request were received. */
  receivedMs: number;
}
