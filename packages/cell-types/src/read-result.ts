/** Result of a read of a topic. */
export type ReadResult =
  | {
      kind: 'records';
      /** Offset at which the topic ends. */
      end: number;
      /** Offset of the oldest record that the store retains. */
      first: number;
      records: Uint8Array[];
      /**
       * Upper bound on the age of the response in ms when the read returned; infinite when unknown.
       */
      ageMs: number;
    }
  /**
   * The records at the requested offset were deleted; `first` is the offset of the oldest retained
   * record.
   */
  | { kind: 'expired'; first: number }
  | { kind: 'failed'; reason: string };
