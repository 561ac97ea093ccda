import type { Offset } from '@acaciahoist/types/offset';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';

/** The current and former owners of a partition as of an offset of its journal. */
export interface OwnershipState {
  /** The owner; undefined when no process has claimed the partition or the owner released it. */
  holder: ProcessIdentity | undefined;
  /** Fencing token of the owner: the offset of its claim, or -1. */
  token: Offset;
  /** Sequence number of the owner's last valid record. */
  sequence: number;
  /** Offset of the last valid owner record, including a release, or -1. */
  lastOwnerRecord: Offset;
  /**
   * The former owners, the latest last. `holder` is null for an owner that released the partition.
   */
  former: readonly { token: Offset; sequence: number; holder: ProcessIdentity | null }[];
}
