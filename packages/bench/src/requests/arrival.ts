import type { Lane } from '@acaciahoist/slot-pool/lane';

/** One request of a workload. */
export interface Arrival {
  atMs: number;
  lane: Lane;
  /** Time that a runner needs for it. */
  serviceMs: number;
}
