import { Result } from 'true-myth/result';
import type { CallFailure } from './call-failure.js';
import { createCallFailure } from './create-call-failure.js';
import type { CommandIo } from './command-io.js';

/** Reads a file as UTF-8. Fails with `bad-request` if it is unreadable or not UTF-8. */
export async function readTextFile(
  io: CommandIo,
  path: string,
): Promise<Result<string, CallFailure>> {
  try {
    const bytes = await io.readFile(path);
    return Result.ok(new TextDecoder('utf-8', { fatal: true, ignoreBOM: true }).decode(bytes));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    const message = `cannot read ${path}: ${reason}; give the path of a UTF-8 text file`;
    return Result.err(createCallFailure('bad-request', message));
  }
}
