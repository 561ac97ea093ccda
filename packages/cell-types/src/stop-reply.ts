/** Result of a stop order. */
export const StopReply = {
  confirmed: 'confirmed',
  fenced: 'fenced',
  /** Another life answered, or no process listens at the address. */
  gone: 'gone',
  failed: 'failed',
} as const;

export type StopReply = (typeof StopReply)[keyof typeof StopReply];
