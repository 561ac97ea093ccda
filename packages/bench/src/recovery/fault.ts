import type { RecoveryCell } from './recovery-cell.js';
import type { RecoveryLoad } from './recovery-load.js';

/** Injects a fault under load and ends it; returns the durations that it measured, by name, in ms. */
export type Fault = (run: {
  cell: RecoveryCell;
  load: RecoveryLoad;
  seed: number;
}) => Promise<Readonly<Record<string, number>>>;
