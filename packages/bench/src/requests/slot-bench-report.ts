import type { SlotSample } from './slot-sample.js';

/** Result of the slot bench. */
export interface SlotBenchReport {
  seed: number;
  /** 80% load, an eighth of it prompt work, for the shared pool, one ideal queue and random routing. */
  normal: { pool: SlotSample; ideal: SlotSample; random: SlotSample };
  /** Heavy work for 120% of all slots and prompt work for 5%. */
  full: { pool: SlotSample; ideal: SlotSample; random: SlotSample };
  /** Prompt work for 5% of all slots alone. */
  promptOnly: { pool: SlotSample; random: SlotSample };
  /** Slot time used by the pool as a share of that of the ideal queue. */
  utilizationOfIdeal: { normal: number; full: number };
  /** Prompt p99 under full heavy load divided by that without heavy work. */
  promptSlowdown: { pool: number; random: number };
}
