import type { IncomingMessage } from 'node:http';

/** Reads a request body; undefined when it is longer than `maxBytes` or the connection broke. */
export function readBody(request: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      // A body that is too long is read to its end and discarded, so that the response can be sent.
      if (bytes <= maxBytes) chunks.push(chunk);
      else chunks.length = 0;
    });
    request.on('end', () => {
      resolve(bytes <= maxBytes ? Buffer.concat(chunks) : undefined);
    });
    request.on('error', () => {
      resolve(undefined);
    });
  });
}
