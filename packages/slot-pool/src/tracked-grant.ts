import type { SlotGrant } from './slot-grant.js';
import type { Lane } from './lane.js';
import type { RunnerSlots } from './runner-slots.js';

/** An outstanding grant as the `GrantTable` of its owner stores it. */
export interface TrackedGrant {
  grant: SlotGrant;
  runner: RunnerSlots;
  service: string;
  lane: Lane;
  holder: string;
  /** True for a grant that a predecessor made. */
  isAdopted: boolean;
  /** Monotonic time at which the slot was granted or the grant adopted. */
  addedAtMs: number;
  /** Deadline of the grant by the monotonic clock of this process, without margin. */
  deadlineAtMs: number;
  cancelTimer: () => void;
}
