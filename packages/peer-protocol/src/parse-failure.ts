import { Failure } from '@acaciahoist/errors';
import { answers } from '@acaciahoist/errors/answers';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import { findShapeError } from '@acaciahoist/types/find-shape-error';
import { shapes } from '@acaciahoist/types/shapes';

const failureShape = shapes.object({ kind: shapes.string, message: shapes.string });

/**
 * Parses the body of an error frame. The failure is `outcome-unknown` for a malformed body or a failure of
 * unknown kind, because these do not show whether the call took effect.
 */
export function parseFailure(body: unknown): Failure {
  if (findShapeError(failureShape, body, 'error') !== undefined) {
    return Failure.create(ErrorKind.outcomeUnknown, 'the peer returned a malformed error');
  }
  const { kind, message, details } = body as {
    kind: string;
    message: string;
    details?: Record<string, unknown>;
  };
  if (!Object.hasOwn(answers, kind)) return Failure.create(ErrorKind.outcomeUnknown, message);
  return Failure.create(kind as ErrorKind, message, details);
}
