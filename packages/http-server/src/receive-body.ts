import type { IncomingMessage } from 'node:http';
import type { RequestMemory } from './request-memory.js';

interface Options {
  maxBytes: number;
  memory: RequestMemory;
  /** Closes the connection of the request. */
  evict: () => void;
}

type ReceivedBody =
  /** `release` must be called when the request and its body are not used any more; it drops the body. */
  | { kind: 'complete'; body: Uint8Array; release: () => void }
  | { kind: 'too-large' }
  /** The connection was closed before the whole body arrived. */
  | { kind: 'incomplete' };

const EMPTY_BODY = Buffer.alloc(0);
/** Memory in bytes of a request beside its header fields and its body: the objects of Node and of this package. */
const REQUEST_OVERHEAD_BYTES = 4_096;

/**
 * Receives the body of a request. Its bytes are copied into one buffer: a body in chunks of one byte would otherwise
 * take hundreds of times its size. Nothing of a body that is larger than the limit is kept, and an announced one is
 * recognized before its first byte.
 */
export function receiveBody(request: IncomingMessage, options: Options): Promise<ReceivedBody> {
  const { maxBytes, memory } = options;
  return new Promise((resolve) => {
    const announcedBytes = Number(request.headers['content-length'] ?? 0);
    if (announcedBytes > maxBytes) {
      request.resume();
      resolve({ kind: 'too-large' });
      return;
    }
    const capacityLimit =
      request.headers['content-length'] === undefined ? maxBytes : announcedBytes;
    const holder = memory.open(() => {
      // Node reports the close of the connection only after it has read the others that have data; until then the
      // bodies of all requests evicted meanwhile would stay in memory, which no longer counts them.
      end({ kind: 'incomplete' });
      options.evict();
    });
    const headBytes = countHeadBytes(request);
    let buffer = EMPTY_BODY;
    let size = 0;
    let hasEnded = false;
    const end = (received: ReceivedBody): void => {
      if (hasEnded) return;
      hasEnded = true;
      request.off('data', append);
      // Further data is read and dropped.
      request.resume();
      if (received.kind === 'complete') memory.keep(holder);
      else memory.release(holder);
      buffer = EMPTY_BODY;
      resolve(received);
    };
    const append = (chunk: Buffer): void => {
      const newSize = size + chunk.byteLength;
      if (newSize > maxBytes) {
        end({ kind: 'too-large' });
        return;
      }
      if (newSize > buffer.byteLength) {
        const capacity = Math.max(newSize, Math.min(capacityLimit, 2 * buffer.byteLength));
        if (!memory.grow(holder, headBytes + capacity)) {
          end({ kind: 'incomplete' });
          return;
        }
        const larger = Buffer.allocUnsafeSlow(capacity);
        buffer.copy(larger, 0, 0, size);
        buffer = larger;
      }
      chunk.copy(buffer, size);
      size = newSize;
    };
    if (!memory.grow(holder, headBytes)) {
      end({ kind: 'incomplete' });
      return;
    }
    request.on('data', append);
    request.once('end', () => {
      const complete = {
        kind: 'complete' as const,
        body: buffer.subarray(0, size),
        release: () => {
          memory.release(holder);
          // The caller refers to this object until the client has taken the response.
          complete.body = EMPTY_BODY;
        },
      };
      end(complete);
    });
    for (const event of ['close', 'error'])
      request.once(event, () => {
        end({ kind: 'incomplete' });
      });
  });
}

function countHeadBytes(request: IncomingMessage): number {
  let bytes = REQUEST_OVERHEAD_BYTES + (request.url?.length ?? 0);
  for (const text of request.rawHeaders) bytes += text.length;
  return bytes;
}
