/** Result of a start order. After `unknown` the worker may run it now or seconds later. */
export type StartReply =
  | { kind: 'started'; clockMs: number }
  /** The worker did not and will not run it. */
  | {
      kind: 'refused';
      reason: 'fence' | 'old' | 'late' | 'room' | 'ticket' | 'unhealthy' | 'invalid';
    }
  /** Another life answered, or no process listens at the address. */
  | { kind: 'gone'; reason: string }
  | { kind: 'unknown'; reason: string };
