/** Result of a start order. After `unknown` the worker may start the run now or seconds later. */
export type StartReply =
  | { kind: 'started'; clockMs: number }
  /**
   * The worker did not start the run and will not start it later. `fence`: it has seen a higher
   * fencing token. `old`: this run or a later one of the task has ended there. `late`: the lease in
   * the order has expired. `room`: too little free capacity. `ticket`: the ticket is not valid.
   * `unhealthy`: the worker is overloaded or could not be reached. `invalid`: any other reason.
   */
  | {
      kind: 'refused';
      reason: 'fence' | 'old' | 'late' | 'room' | 'ticket' | 'unhealthy' | 'invalid';
    }
  /** Another incarnation answered, or no process listens at the address. */
  | { kind: 'gone'; reason: string }
  | { kind: 'unknown'; reason: string };
