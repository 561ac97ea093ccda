/** Result of a pace order. */
export const PaceReply = {
  paced: 'paced',
  fenced: 'fenced',
  failed: 'failed',
} as const;

export type PaceReply = (typeof PaceReply)[keyof typeof PaceReply];
