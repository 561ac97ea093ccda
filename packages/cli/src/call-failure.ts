import type { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { Execution } from '@acaciahoist/errors/execution';

/** An error in the form of the HTTP interface, whose error body is `{ "error": CallFailure }`. */
export interface CallFailure {
  kind: ErrorKind;
  message: string;
  /** Whether the requested work ran. */
  execution: Execution;
  details: Readonly<Record<string, unknown>>;
}
