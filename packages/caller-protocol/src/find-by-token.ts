import { createHash, timingSafeEqual } from 'node:crypto';

/**
 * Finds the entry whose token is in the `authorization: Bearer …` header. Compares digests of equal length
 * in constant time, and those of all entries, so that the duration reveals nothing about a token.
 */
export function findByToken<Entry extends { token: string }>(
  entries: readonly Entry[],
  authorization: string | undefined,
): Entry | undefined {
  const presentedDigest = hashToken(/^Bearer (.+)$/.exec(authorization ?? '')?.[1] ?? '');
  let match: Entry | undefined;
  for (const entry of entries) {
    if (timingSafeEqual(hashToken(entry.token), presentedDigest)) match = entry;
  }
  return match;
}

function hashToken(token: string): Buffer {
  return createHash('sha256').update(token).digest();
}
