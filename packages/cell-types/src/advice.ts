/** Result of an advice request for one step. */
export type Advice =
  /** Tickets by worker, for those of the named workers that may run the step. */
  | { kind: 'allowed'; tickets: readonly (readonly [worker: string, ticket: string])[] }
  /** The service refused the request because too many are waiting. */
  | { kind: 'busy' }
  | { kind: 'failed'; reason: string };
