import type { Authority } from './authority.js';
import type { PoolCounts } from './pool-counts.js';

/** State of a pool for operators and tests. */
export interface PoolDescription {
  authority: Authority;
  token: number;
  runners: readonly {
    address: string;
    state: 'live' | 'leaving' | 'gone';
    /** Outstanding grants, including those of predecessors. */
    outstanding: number;
    /** Outstanding grants and quarantined slots. */
    occupied: number;
    freePrompt: number;
    freeHeavy: number;
  }[];
  waiting: { prompt: number; heavy: number };
  counts: PoolCounts;
}
