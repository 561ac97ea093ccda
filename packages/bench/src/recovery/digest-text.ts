import { createHash } from 'node:crypto';

/** Returns the first 16 hexadecimal digits of the SHA-256 hash, as the platform records digests of bodies. */
export function digestText(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, 16);
}
