import type { EndpointReply } from './endpoint-reply.js';
import { createJsonReply } from './create-json-reply.js';

/** Creates an error reply with the body `{"error":{"kind","message"}}`. */
export function createErrorReply(status: number, kind: string, message: string): EndpointReply {
  return createJsonReply(status, { error: { kind, message } });
}
