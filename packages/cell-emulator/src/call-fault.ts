/** What happens to a call: it may be lost before or after it took effect, or take effect late. */
export const CallFault = {
  none: 'none',
  /** Answered at once that nothing was done. */
  refused: 'refused',
  /** Lost before it took effect. */
  lost: 'lost',
  /** Took effect; the answer was lost. */
  answerLost: 'answer-lost',
  /** The caller hears nothing; the call takes effect seconds later. */
  late: 'late',
} as const;

export type CallFault = (typeof CallFault)[keyof typeof CallFault];
