import type { RecoveryCell } from './recovery-cell.js';

const MAX_TRIES = 1_000;

/** A key that belongs to the partition. */
export function pickKey(cell: RecoveryCell, partition: string, name: string): string {
  for (let tried = 0; tried < MAX_TRIES; tried += 1) {
    const key = `${name}-${tried}`;
    if (cell.layout.findByKey(key) === partition) return key;
  }
  throw new Error(`no key found for ${partition}`);
}
