/** Result of a start order. After `unknown` the worker may start the run now or seconds later. */
export type StartReply =
  | { kind: 'started'; clockMs: number }
  /** The worker did not start the run and will not start it later. */
  | {
      kind: 'refused';
      reason: 'fence' | 'old' | 'late' | 'room' | 'ticket' | 'unhealthy' | 'invalid';
    }
  /** Another incarnation answered, or no process listens at the address. */
  | { kind: 'gone'; reason: string }
  | { kind: 'unknown'; reason: string };
