/** A request as sent to a runner. */
export interface RunnerRequest {
  requestId: string;
  service: string;
  contentType: string;
  body: Uint8Array;
  /** Remaining time. */
  deadlineMs: number;
}
