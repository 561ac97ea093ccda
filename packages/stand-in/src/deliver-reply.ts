import { STATUS_CODES, type ServerResponse } from 'node:http';
import type { EndpointReply } from './endpoint-reply.js';

/** Encodes a response as raw bytes, to send a second copy on the same connection. */
function encodeRawResponse(
  reply: EndpointReply,
  headers: Readonly<Record<string, string>>,
): Buffer {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  const head = `HTTP/1.1 ${reply.status} ${STATUS_CODES[reply.status] ?? ''}\r\n${lines.join('')}\r\n`;
  return Buffer.concat([Buffer.from(head), reply.body]);
}

/**
 * Sends a reply with the fault that its `delivery` names. `identityHeaders` holds the headers that every
 * response has.
 */
export function deliverReply(
  response: ServerResponse,
  reply: EndpointReply,
  identityHeaders: Readonly<Record<string, string>>,
): void {
  const { socket } = response;
  if (socket === null || socket.destroyed) return;
  const headers: Record<string, string> = {
    ...identityHeaders,
    ...reply.headers,
    'content-type': reply.contentType,
    'content-length': String(reply.body.length),
  };
  if (reply.delivery === 'withhold') return;
  if (reply.delivery === 'close') {
    socket.destroy();
    return;
  }
  if (reply.delivery === 'truncate') {
    const firstHalf = reply.body.subarray(0, Math.floor(reply.body.length / 2));
    const statedLength = String(Math.max(1, reply.body.length));
    response.writeHead(reply.status, { ...headers, 'content-length': statedLength });
    response.write(firstHalf, () => {
      socket.destroy();
    });
    return;
  }
  if (reply.delivery === 'wrong-id')
    headers['x-request-id'] = `other-${headers['x-request-id'] ?? ''}`;
  if (reply.delivery === 'chunked') {
    delete headers['content-length'];
    response.writeHead(reply.status, headers);
    response.write(reply.body);
    response.end();
    return;
  }
  response.writeHead(reply.status, headers);
  response.end(reply.body, () => {
    if (reply.delivery === 'duplicate') socket.write(encodeRawResponse(reply, headers));
  });
}
