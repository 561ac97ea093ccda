/** Result of an append. Only `unknown` leaves open whether the records are or will be in the log. */
export type AppendResult =
  | { kind: 'appended'; offset: number }
  /** A producer with a higher epoch has written. */
  | { kind: 'fenced' }
  | { kind: 'out-of-sequence' }
  /** The topic does not end at the offset asked for. */
  | { kind: 'moved'; end: number }
  /** Nothing was done. */
  | { kind: 'refused'; reason: string }
  | { kind: 'unknown'; reason: string };
