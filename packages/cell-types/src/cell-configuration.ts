import type { CellQueue } from './cell-queue.js';
import type { Team } from './team.js';

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
  /** Teams that may use the cell; empty when callers need no key. */
  teams: readonly Team[];
}
