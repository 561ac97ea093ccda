import Result from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';

/**
 * Reads an optional integer from `min` to `max`. Returns undefined when the text is absent. Fails with
 * `bad-request` and a message that begins with `name`.
 */
export function readInteger(
  text: string | undefined,
  name: string,
  min: number,
  max: number,
): Result<number | undefined, Failure> {
  if (text === undefined) return Result.ok(undefined);
  const value = Number(text);
  if (text.trim() !== '' && Number.isSafeInteger(value) && value >= min && value <= max)
    return Result.ok(value);
  return Result.err(
    Failure.create(
      ErrorKind.badRequest,
      `${name} must be an integer from ${min} to ${max}, not "${text}"`,
    ),
  );
}
