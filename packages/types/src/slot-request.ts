import type { PartitionId } from './partition-id.js';

/** Request to the owner of a partition for one slot of a runner. */
export interface SlotRequest {
  partition: PartitionId;
  /** Chosen by the holder; a repeated request with the same id gets the same grant. */
  grantId: string;
  service: string;
  lane: 'prompt' | 'heavy';
  /** Remaining time of the request. */
  deadlineMs: number;
  /** Runners that must not be granted, for a retry. */
  exclude: readonly string[];
}
