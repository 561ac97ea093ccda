import type { EndpointReply } from './endpoint-reply.js';

/** Creates a reply with a JSON body. */
export function createJsonReply(status: number, value: unknown): EndpointReply {
  return {
    status,
    contentType: 'application/json',
    body: Buffer.from(JSON.stringify(value)),
  };
}
