/** What the owner of a partition may do. */
export const Authority = {
  /** The lease is valid: all slots may be granted. */
  leased: 'leased',
  /**
   * The lease has expired and no other claim was read: only `heldSlotsPercent` of the slots may be
   * granted.
   */
  holding: 'holding',
  /** Nothing may be granted. */
  none: 'none',
} as const;

export type Authority = (typeof Authority)[keyof typeof Authority];
