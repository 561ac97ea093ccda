import type { PartitionView } from './partition-view.js';

/** State of an entry process, sent to every other one of its data centre; the reply is the receiver's state. */
export interface Heartbeat {
  /** Incarnation of the sender. */
  incarnation: string;
  dataCentre: string;
  /** False once a planned stop has begun. */
  ready: boolean;
  /** Revision of the configuration in force at the sender. */
  revision: number;
  /** Partitions that the sender owns. */
  held: readonly PartitionView[];
}
