/** Limits of `HttpServer` that a client can exceed. The list is complete. */
export const ServerLimit = {
  /** The body is larger than the limit; the request is answered with 413 and its connection closed. */
  bodySize: 'body-size',
  /** All requests together take the memory set aside for them; the connection of the largest one is closed. */
  requestMemory: 'request-memory',
  /** Too many requests were sent ahead of their responses; the connection is closed. */
  pipelining: 'pipelining',
  /** The request is malformed, or its header fields or trailers are too long; answered with 400. */
  syntax: 'syntax',
  /** The whole request did not arrive in time; answered with 408. */
  requestTime: 'request-time',
  /** The client did not take its response in time; the connection is closed. */
  responseTime: 'response-time',
  /** All connections are in use; the one with the least use is closed. */
  connections: 'connections',
} as const;

export type ServerLimit = (typeof ServerLimit)[keyof typeof ServerLimit];
