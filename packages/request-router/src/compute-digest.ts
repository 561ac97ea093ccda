import { createHash } from 'node:crypto';

/** Returns the SHA-256 of the parts, hexadecimal. If there are several, each is preceded by its length. */
export function computeDigest(...parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256');
  if (parts.length > 1) for (const part of parts) hash.update(`${part.length}:`).update(part);
  else for (const part of parts) hash.update(part);
  return hash.digest('hex');
}
