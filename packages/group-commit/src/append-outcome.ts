/** Outcome of appending one record. */
export const AppendOutcome = {
  durable: 'durable',
  /** The record is certainly not in the stream and may be sent again. */
  notAppended: 'not-appended',
  /** The record is not in the stream before the claim of another owner, so it can never become valid. */
  fenced: 'fenced',
  /** The record may be in the stream or may still arrive. */
  unknown: 'unknown',
} as const;

export type AppendOutcome = (typeof AppendOutcome)[keyof typeof AppendOutcome];
