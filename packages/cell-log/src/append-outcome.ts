/** Result of an append for the caller of `Appender.append`. */
export const AppendOutcome = {
  appended: 'appended',
  /** The records are not in the log and will not be. */
  refused: 'refused',
  /** The records may be in the log or enter it later. */
  unknown: 'unknown',
} as const;

export type AppendOutcome = (typeof AppendOutcome)[keyof typeof AppendOutcome];
