import type { CellQueue } from './cell-queue.js';

/** The operators' configuration in force. */
export interface CellConfiguration {
  version: number;
  queues: readonly CellQueue[];
  /** Services by name: whether their workers refuse a start that does not fit. */
  guarded: ReadonlyMap<string, boolean>;
  maxBodyBytes: number;
}
