import type { ErrorKind } from '@acaciahoist/errors/error-kind';

/** What a caller of the recovery run received. */
export type CallerAnswer =
  | { type: 'reply'; status: number; text: string; body: unknown }
  | { type: 'error'; kind: ErrorKind }
  /** The connection was refused: the call did not reach the process. */
  | { type: 'refused-connection' }
  /** The connection failed in any other way; the call may have reached the process. */
  | { type: 'closed' }
  /** The caller received no complete response within its time limit. */
  | { type: 'timeout' };
