/** Answer of the advice service for one step. */
export type Advice =
  /** Tickets by worker for the workers that were named and may run the step. */
  | { kind: 'allowed'; tickets: readonly (readonly [worker: string, ticket: string])[] }
  /** Too many calls are waiting. */
  | { kind: 'busy' }
  | { kind: 'failed'; reason: string };
