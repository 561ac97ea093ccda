/** Closed list of the kinds of error that reach a caller, an operator or a peer. */
export const ErrorKind = {
  /** The request body, header or parameter is malformed. */
  badRequest: 'bad-request',
  /** The declaration or settings text has faults. */
  badDeclaration: 'bad-declaration',
  /** The token is missing or does not permit the call. */
  forbidden: 'forbidden',
  /** No such job, service, user or period. */
  notFound: 'not-found',
  /** No job with this id was accepted, or it was forgotten after its end. */
  unknownJob: 'unknown-job',
  /** The publication names a base revision that is not in force. */
  revisionConflict: 'revision-conflict',
  /** The job can never run: no worker could hold it. */
  neverRunnable: 'never-runnable',
  /** The team's quota does not permit the job. */
  quotaExceeded: 'quota-exceeded',
  /** Queue full, or no slot before the deadline. */
  overloaded: 'overloaded',
  /** A durable record is needed and the log does not accept appends. */
  logUnavailable: 'log-unavailable',
  /** An append was sent and its result is not known. */
  appendUnknown: 'append-unknown',
  /** The process that owns the partition cannot be reached. */
  ownerUnreachable: 'owner-unreachable',
  /**
   * The owner of an idempotency key gave no answer that counts. This call did not run, but an earlier
   * call with the key may have. Repeat it with the same key.
   */
  keyUnreachable: 'key-unreachable',
  /** The process addressed does not own the partition. */
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
  /** The message is of an older incarnation or token. */
  stale: 'stale',
  /** A fault in the program. */
  internal: 'internal',
} as const;

export type ErrorKind = (typeof ErrorKind)[keyof typeof ErrorKind];
