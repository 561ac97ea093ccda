/** Records that are appended to a topic all or nothing. */
export interface AppendRequest {
  topic: string;
  records: readonly Uint8Array[];
  /** The append happens only if the topic ends at this offset. */
  at?: number;
  /** Time in ms after which the result counts as unknown; a default of the client otherwise. */
  timeoutMs?: number;
  /** Makes a repeated append safe: the store answers it with the first result. */
  producer?: { name: string; epoch: number; sequence: number };
}
