/** A request of a caller to a service, as entry processes execute and forward it. */
export interface ServiceRequest {
  requestId: string;
  service: string;
  /** Caller's user and team, from its token and the declaration. */
  user: string;
  team: string;
  /** Idempotency key; required for services that are not repeatable. */
  key: string | null;
  contentType: string;
  body: Uint8Array;
  /** Remaining time in ms when the request was forwarded. */
  deadlineMs: number;
}
