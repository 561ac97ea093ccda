import type { CellQueue } from './cell-queue.js';

/** The configuration that the operators have put in force. */
export interface CellConfiguration {
  version: number;
  queues: readonly CellQueue[];
  /**
   * For each service by name: true when its workers refuse a start that exceeds their free
   * capacity.
   */
  guarded: ReadonlyMap<string, boolean>;
  maxBodyBytes: number;
}
