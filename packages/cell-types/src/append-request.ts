/** Request to append records to a topic; either all of them are appended or none. */
export interface AppendRequest {
  topic: string;
  records: readonly Uint8Array[];
  /** When present, the append takes effect only if the topic ends at this offset. */
  at?: number;
  /** Timeout in ms, after which the result is `unknown`; the default of the client when absent. */
  timeoutMs?: number;
  /**
   * Identifies the append, so that it can be repeated: the store answers a repetition with the
   * first result.
   */
  producer?: { name: string; epoch: number; sequence: number };
}
