import { answers } from '@acaciahoist/errors/answers';
import type { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { CallFailure } from './call-failure.js';

/** Creates a failure that the command itself detects, with the `execution` of the error table. */
export function createCallFailure(
  kind: ErrorKind,
  message: string,
  details: Readonly<Record<string, unknown>> = {},
): CallFailure {
  return { kind, message, execution: answers[kind].execution, details };
}
