/** Kinds of the errors that are returned to a caller, an operator or a peer. The list is complete. */
export const ErrorKind = {
  /** The request body, header or parameter is malformed. */
  badRequest: 'bad-request',
  /** The text of the declaration or of the settings is invalid. */
  badDeclaration: 'bad-declaration',
  /** The token is missing or does not permit the call. */
  forbidden: 'forbidden',
  /** No such job, service, user or period. */
  notFound: 'not-found',
  /** No job with this id was accepted, or it ended and its retention time has passed. */
  unknownJob: 'unknown-job',
  /** The publication names a base revision that is not in force. */
  revisionConflict: 'revision-conflict',
  /** The job can never run: even with every worker idle it would not fit. */
  neverRunnable: 'never-runnable',
  /** The team's quota does not permit the job. */
  quotaExceeded: 'quota-exceeded',
  /** The queue is full, or no slot became free before the deadline. */
  overloaded: 'overloaded',
  /** A durable record is needed and the log does not accept appends. */
  logUnavailable: 'log-unavailable',
  /** An append was sent and its result is not known. */
  appendUnknown: 'append-unknown',
  /** The process that owns the partition cannot be reached. */
  ownerUnreachable: 'owner-unreachable',
  /**
   * The owner of an idempotency key sent no conclusive reply. This call did not run, but an earlier
   * call with the key may have run. Repeat it with the same key.
   */
  keyUnreachable: 'key-unreachable',
  /** The process that received the call does not own the partition. */
  notOwner: 'not-owner',
  /** The deadline passed before the work was sent to an endpoint. */
  deadlineExceeded: 'deadline-exceeded',
  /** No endpoint answered a request that may be repeated. */
  endpointFailed: 'endpoint-failed',
  /** The work was sent to an endpoint and its result is not known. */
  outcomeUnknown: 'outcome-unknown',
  /** The same key was used with a different request. */
  keyConflict: 'key-conflict',
  /** The work was cancelled. */
  cancelled: 'cancelled',
  /** The process is starting or stopping. */
  notReady: 'not-ready',
  /** The message carries an older incarnation or token. */
  stale: 'stale',
  /** An error in the program itself. */
  internal: 'internal',
} as const;

export type ErrorKind = (typeof ErrorKind)[keyof typeof ErrorKind];
