import { STATUS_CODES, type ServerResponse } from 'node:http';
import type { EndpointResponse } from './endpoint-response.js';

/** Encodes a response as raw bytes, to send a second copy on the same connection. */
function encodeRawResponse(
  response: EndpointResponse,
  headers: Readonly<Record<string, string>>,
): Buffer {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  const head = `HTTP/1.1 ${response.status} ${STATUS_CODES[response.status] ?? ''}\r\n${lines.join('')}\r\n`;
  return Buffer.concat([Buffer.from(head), response.body]);
}

/**
 * Sends a response with the fault that its `delivery` names. `identityHeaders` holds the headers that every
 * response has.
 */
export function deliverResponse(
  serverResponse: ServerResponse,
  response: EndpointResponse,
  identityHeaders: Readonly<Record<string, string>>,
): void {
  const { socket } = serverResponse;
  if (socket === null || socket.destroyed) return;
  const headers: Record<string, string> = {
    ...identityHeaders,
    ...response.headers,
    'content-type': response.contentType,
    'content-length': String(response.body.length),
  };
  if (response.delivery === 'withhold') return;
  if (response.delivery === 'close') {
    socket.destroy();
    return;
  }
  if (response.delivery === 'truncate') {
    const firstHalf = response.body.subarray(0, Math.floor(response.body.length / 2));
    const statedLength = String(Math.max(1, response.body.length));
    serverResponse.writeHead(response.status, { ...headers, 'content-length': statedLength });
    serverResponse.write(firstHalf, () => {
      socket.destroy();
    });
    return;
  }
  if (response.delivery === 'wrong-id')
    headers['x-request-id'] = `other-${headers['x-request-id'] ?? ''}`;
  if (response.delivery === 'chunked') {
    delete headers['content-length'];
    serverResponse.writeHead(response.status, headers);
    serverResponse.write(response.body);
    serverResponse.end();
    return;
  }
  serverResponse.writeHead(response.status, headers);
  serverResponse.end(response.body, () => {
    if (response.delivery === 'duplicate') socket.write(encodeRawResponse(response, headers));
  });
}
