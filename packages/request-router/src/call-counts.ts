/** Counters of replies and grants that arrived but were not used. */
export interface CallCounts {
  /** Replies that arrived after the deadline of the request or after its caller cancelled it. */
  lateReplies: number;
  /** Replies with another request id or from a former incarnation of the runner. */
  foreignReplies: number;
  /** Replies with a malformed status or body. */
  brokenReplies: number;
  /** Grants that arrived after their slot request had timed out or was cancelled. */
  lateGrants: number;
}
