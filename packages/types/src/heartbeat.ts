import type { PartitionView } from './partition-view.js';

/**
 * State that an entry process sends to the other entry processes of its data centre. The reply has the
 * state of the receiver.
 */
export interface Heartbeat {
  /** Incarnation of the sender. */
  incarnation: string;
  dataCentre: string;
  /** False until the start is complete, and again once a planned stop has begun. */
  ready: boolean;
  /** Revision of the configuration in force at the sender. */
  revision: number;
  /** Partitions that the sender owns. */
  held: readonly PartitionView[];
}
