import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';

/** Failures with which no owner under a valid lease has looked the key up. */
const KINDS_WITHOUT_LOOKUP: readonly ErrorKind[] = [
  ErrorKind.ownerUnreachable,
  ErrorKind.notOwner,
  ErrorKind.notReady,
];

/**
 * The failure to report for a call with a key. Only an owner under a valid lease knows whether an
 * earlier call with the key ran; without its answer nothing may say "not run".
 */
export function explainKeyedFailure(failure: Failure): Failure {
  if (!KINDS_WITHOUT_LOOKUP.includes(failure.kind)) return failure;
  const message = `this call did not run, but an earlier one with the key may have: ${failure.message}`;
  return Failure.create(ErrorKind.keyUnreachable, message);
}
