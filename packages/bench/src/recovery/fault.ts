import type { RecoveryCell } from './recovery-cell.js';
import type { RecoveryLoad } from './recovery-load.js';

/** Injects a fault under load and ends it; returns the times that it measured, ms. */
export type Fault = (run: {
  cell: RecoveryCell;
  load: RecoveryLoad;
  seed: number;
}) => Promise<Readonly<Record<string, number>>>;
