/** Permission to use one slot of one runner for one request. */
export interface SlotGrant {
  grantId: string;
  /** Address of the runner. */
  runner: string;
  /** Token of the owner that made the grant. */
  token: number;
  /**
   * The grant ends this many ms after the holder sent the request, by the holder's own clock. The owner
   * counts the same time from when it received the request, so the holder stops using the slot before
   * the owner frees it, however long the messages took.
   */
  deadlineMs: number;
}
