import type { PartitionView } from '@acaciahoist/types/partition-view';

/** What this process knows of a peer of its data centre. */
export interface PeerView {
  address: string;
  incarnation: string;
  /** Monotonic time of the last heartbeat or answer. */
  lastContactMs: number;
  ready: boolean;
  revision: number;
  held: readonly PartitionView[];
  /** Monotonic time at which its address first refused a connection after the last heartbeat. */
  exitedAtMs: number | null;
}
