import type { Offset } from './offset.js';
import type { PartitionId } from './partition-id.js';

/** Owner and fencing token of a partition, as a process reports them. */
export interface PartitionView {
  partition: PartitionId;
  token: Offset;
  /** Peer address of the owner. */
  holder: string;
  /** Incarnation of the owner. */
  incarnation: string;
  /** Number of waiting jobs, by which submissions are routed. */
  backlog: number;
}
