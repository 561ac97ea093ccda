import type { EndpointResponse } from './endpoint-response.js';
import { createJsonResponse } from './create-json-response.js';

/** Creates an error response with the body `{"error":{"kind","message"}}`. */
export function createErrorResponse(
  status: number,
  kind: string,
  message: string,
): EndpointResponse {
  return createJsonResponse(status, { error: { kind, message } });
}
