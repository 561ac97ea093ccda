import type { RecoveryCell } from './recovery-cell.js';

const MAX_TRIES = 1_000;

/** Returns a key that begins with `prefix` and belongs to the partition. */
export function pickKey(cell: RecoveryCell, partition: string, prefix: string): string {
  for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
    const key = `${prefix}-${attempt}`;
    if (cell.layout.findByKey(key) === partition) return key;
  }
  throw new Error(`none of ${MAX_TRIES} keys "${prefix}-<n>" belongs to partition ${partition}`);
}
