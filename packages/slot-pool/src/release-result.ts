/** State of the work as the holder of a grant reports it when it releases the grant. */
export const ReleaseResult = {
  /** The runner has answered; the slot is free. */
  ended: 'ended',
  /** No byte was sent; the slot is free. */
  notSent: 'not-sent',
  /** The runner may still be working; the slot stays in use until the grant's deadline has passed. */
  unknown: 'unknown',
} as const;

export type ReleaseResult = (typeof ReleaseResult)[keyof typeof ReleaseResult];
