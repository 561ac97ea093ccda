/** A complete reply of a runner, matched by request id. */
export interface RunnerReply {
  requestId: string;
  /** Incarnation of the runner process. */
  incarnation: string;
  status: number;
  contentType: string;
  body: Uint8Array;
}
