import type { EndpointResponse } from './endpoint-response.js';

/** Creates a response with a JSON body. */
export function createJsonResponse(status: number, value: unknown): EndpointResponse {
  return {
    status,
    contentType: 'application/json',
    body: Buffer.from(JSON.stringify(value)),
  };
}
