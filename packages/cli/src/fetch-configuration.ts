import { Result } from 'true-myth/result';
import type { CallFailure } from './call-failure.js';
import { createCallFailure } from './create-call-failure.js';
import { isRecord } from './is-record.js';
import type { ServerClient } from './server-client.js';

/** Fetches the declaration in force. Revision 0 with an empty text means that none was published. */
export async function fetchConfiguration(
  client: ServerClient,
): Promise<Result<{ revision: number; text: string }, CallFailure>> {
  const response = await client.call({ method: 'GET', path: '/configuration' });
  return response.andThen((value) => {
    const { revision, text } = isRecord(value) ? value : {};
    if (typeof revision === 'number' && typeof text === 'string')
      return Result.ok({ revision, text });
    const message =
      'the answer of the server has no revision and text; check that --server is an entry process';
    return Result.err(createCallFailure('internal', message));
  });
}
