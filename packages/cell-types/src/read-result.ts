/** Result of a read of a topic. */
export type ReadResult =
  | {
      kind: 'records';
      end: number;
      first: number;
      records: Uint8Array[];
      /** Upper bound of how long ago the answer was true when the read returned; infinite for unknown. */
      ageMs: number;
    }
  /** Records at the offset asked for were deleted; `first` is the oldest that is kept. */
  | { kind: 'expired'; first: number }
  | { kind: 'failed'; reason: string };
