import type { Grant } from './grant.js';
import type { Lane } from './lane.js';
import type { RunnerSlots } from './runner-slots.js';

/** An outstanding grant in the ledger of its owner. */
export interface TrackedGrant {
  grant: Grant;
  runner: RunnerSlots;
  service: string;
  lane: Lane;
  holder: string;
  /** True for a grant that a predecessor made. */
  isAdopted: boolean;
  /** Monotonic time of the grant or of its adoption. */
  sinceMs: number;
  /** The grant's deadline by this process's clock, without margin. */
  deadlineAtMs: number;
  cancelTimer: () => void;
}
