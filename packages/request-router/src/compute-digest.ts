import { createHash } from 'node:crypto';

/** SHA-256 over the parts, each preceded by its length, hexadecimal. */
export function computeDigest(...parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256');
  if (parts.length > 1) for (const part of parts) hash.update(`${part.length}:`).update(part);
  else for (const part of parts) hash.update(part);
  return hash.digest('hex');
}
