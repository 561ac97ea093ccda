/** Result of a stop order. */
export const StopReply = {
  /** The run is being stopped, or its start will be refused if it arrives later. */
  confirmed: 'confirmed',
  fenced: 'fenced',
  /** Another incarnation answered, or no process listens at the address. */
  gone: 'gone',
  failed: 'failed',
} as const;

export type StopReply = (typeof StopReply)[keyof typeof StopReply];
