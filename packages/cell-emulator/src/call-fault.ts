/** Fault of an emulated call to the store, a worker or another process. */
export const CallFault = {
  none: 'none',
  /** The call is refused at once without an effect. */
  refused: 'refused',
  /** The call is lost before it takes effect. */
  lost: 'lost',
  /** The call takes effect; its reply is lost. */
  replyLost: 'reply-lost',
  /** The call takes effect seconds later; the caller gets no reply. */
  late: 'late',
} as const;

export type CallFault = (typeof CallFault)[keyof typeof CallFault];
