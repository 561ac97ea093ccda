import type { PartitionView } from '@acaciahoist/types/partition-view';

/** State of a peer of the data centre, from its latest heartbeat. */
export interface PeerView {
  address: string;
  incarnation: string;
  /** Monotonic time of the last contact: a heartbeat, or the reply to one. */
  lastContactAtMs: number;
  /** False once a planned stop of the peer has begun. */
  ready: boolean;
  /** Revision of the configuration in force at the peer. */
  revision: number;
  /** Partitions that the peer owns. */
  held: readonly PartitionView[];
  /** Monotonic time at which its address first refused a connection after the last contact, or null. */
  exitedAtMs: number | null;
}
