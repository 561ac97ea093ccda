/** Behaviour of a simulated runner for one request. */
export type RunnerBehaviour =
  | 'reply'
  /** Refuses the connection; no byte is sent. */
  | 'unreachable'
  /** Closes the connection before the reply. */
  | 'cut'
  /** Replies with status 503. */
  | 'busy'
  /** Never replies. */
  | 'hang'
  /** Replies after the deadline. */
  | 'late'
  /** Replies with the id of another request. */
  | 'foreign'
  /** Replies from its former incarnation. */
  | 'former'
  /** Replies without a valid body. */
  | 'broken'
  /** The client that sends the request throws an error. */
  | 'throw';
