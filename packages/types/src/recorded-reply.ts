/** A reply of a runner, kept for repeated calls with the same key. */
export interface RecordedReply {
  status: number;
  contentType: string;
  /** The complete body, or null when it was larger than the limit. */
  body: Uint8Array | null;
  /** SHA-256 of the complete body, hexadecimal. */
  bodyDigest: string;
}
