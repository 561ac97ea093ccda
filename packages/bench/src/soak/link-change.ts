/** A disturbance of one link. All but `reset` and `silence` last until they are removed. */
export type LinkChange =
  | { type: 'delay'; delayMs: number }
  /** Nothing passes in this direction; what was sent arrives when the change is removed. */
  | { type: 'cut'; direction: 'request' | 'response' }
  /** Resets the connections that are open now. */
  | { type: 'reset' }
  /** The connections that are open now lose everything that is sent later and are not closed. */
  | { type: 'silence' };
