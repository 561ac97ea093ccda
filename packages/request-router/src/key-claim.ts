/** Claim of an idempotency key. It must be in the journal before the first byte of the request is sent. */
export interface KeyClaim {
  key: string;
  /** SHA-256 of service name and request body, hexadecimal. */
  requestDigest: string;
  service: string;
  user: string;
  team: string;
}
