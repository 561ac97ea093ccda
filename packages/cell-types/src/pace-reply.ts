/** Result of a call that paces a best-effort task. */
export const PaceReply = {
  paced: 'paced',
  fenced: 'fenced',
  failed: 'failed',
} as const;

export type PaceReply = (typeof PaceReply)[keyof typeof PaceReply];
