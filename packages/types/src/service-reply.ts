/** The complete reply to a service request. */
export interface ServiceReply {
  requestId: string;
  status: number;
  contentType: string;
  body: Uint8Array;
  /** True when the reply was recorded for an earlier call with the same key. */
  replayed: boolean;
}
