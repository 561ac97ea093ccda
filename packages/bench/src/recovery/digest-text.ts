import { createHash } from 'node:crypto';

/** Returns the first 16 hexadecimal digits of the SHA-256, the form in which the platform records bodies. */
export function digestText(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, 16);
}
