import { createHash } from 'node:crypto';

/** Draws a number in [0, 1) that depends only on the seed and the name. */
export function drawSeededShare(seed: number, name: string): number {
  const digest = createHash('sha256').update(`${seed}:${name}`).digest();
  return digest.readUInt32BE(0) / 0x1_0000_0000;
}
