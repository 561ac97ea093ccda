import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';

/** Kinds of failures in which no owner with a valid lease has looked up the key. */
const KINDS_WITHOUT_LOOKUP: readonly ErrorKind[] = [
  ErrorKind.ownerUnreachable,
  ErrorKind.notOwner,
  ErrorKind.notReady,
];

/**
 * Converts the failure of a call with a key into the failure to report. Only an owner with a valid lease
 * knows whether an earlier call with the key ran; without its reply no failure may mean "not run".
 */
export function explainKeyedFailure(failure: Failure): Failure {
  if (!KINDS_WITHOUT_LOOKUP.includes(failure.kind)) return failure;
  const message = `this call did not run, but an earlier call with the key may have run: ${failure.message}`;
  return Failure.create(ErrorKind.keyUnreachable, message);
}
