import type { Lane } from '@acaciahoist/slot-pool/lane';

/** A request of a caller to a service. */
export interface RoutedRequest {
  /** Unique. Retries are sent with the suffix `.2` or `.3`. */
  requestId: string;
  service: string;
  user: string;
  team: string;
  lane: Lane;
  contentType: string;
  body: Uint8Array;
  /** Time that remains until the deadline. */
  deadlineMs: number;
  /** Aborted when the caller no longer waits for the reply. */
  signal?: AbortSignal;
}
