import { answers } from '@acaciahoist/errors/answers';
import type { ErrorKind } from '@acaciahoist/errors/error-kind';
import { Execution } from '@acaciahoist/errors/execution';
import type { CallFailure } from './call-failure.js';
import { createCallFailure } from './create-call-failure.js';
import { isRecord } from './is-record.js';

/**
 * Reads the error body of a response. A body of another form becomes an `internal` error. An unknown
 * `execution` is replaced by that of the error table.
 */
export function parseCallFailure(status: number, body: unknown): CallFailure {
  const error = isRecord(body) && isRecord(body.error) ? body.error : {};
  const { kind, message, execution, details } = error;
  if (!isKind(kind) || typeof message !== 'string') {
    const text = `the server answered with status ${status} and no known error; check that --server is the address of an entry process for callers`;
    return createCallFailure('internal', text);
  }
  const knownExecution = Object.values(Execution).find((value) => value === execution);
  return {
    kind,
    message,
    execution: knownExecution ?? answers[kind].execution,
    details: isRecord(details) ? details : {},
  };
}

function isKind(kind: unknown): kind is ErrorKind {
  return typeof kind === 'string' && Object.hasOwn(answers, kind);
}
