/**
 * Result of an append. After `unknown`, and only then, the records may be in the log or enter it
 * later.
 */
export type AppendResult =
  /** `offset`: offset of the first of the records. */
  | { kind: 'appended'; offset: number }
  /** A producer with a higher epoch has appended. */
  | { kind: 'fenced' }
  /** The sequence number of the producer is not the next one that the store expects. */
  | { kind: 'out-of-sequence' }
  /** The topic ends at `end` and not at the requested offset. */
  | { kind: 'moved'; end: number }
  /** The store refused the append; no record was appended. */
  | { kind: 'refused'; reason: string }
  | { kind: 'unknown'; reason: string };
