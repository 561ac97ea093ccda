/** What a process may do for a partition. */
export const Authority = {
  /** The lease is valid: everything is allowed. */
  leased: 'leased',
  /**
   * The lease has expired, the process has read no other claim, and the hold time has not ended.
   * Nothing new can be committed; only work that was recorded before may continue.
   */
  holding: 'holding',
  /** Not the owner. */
  none: 'none',
} as const;

export type Authority = (typeof Authority)[keyof typeof Authority];
