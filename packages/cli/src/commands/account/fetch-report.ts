import type { Result } from 'true-myth/result';
import type { CellReport } from '@acaciahoist/account/cell-report';
import { parseReport } from '@acaciahoist/account/parse-report';
import type { CallFailure } from '../../call-failure.js';
import { createCallFailure } from '../../create-call-failure.js';
import type { ServerClient } from '../../server-client.js';

/** Fetches the report of a period, for one user or for all users that the token may read. */
export async function fetchReport(
  client: ServerClient,
  period: string,
  user: string | undefined,
): Promise<Result<CellReport, CallFailure>> {
  const query = new URLSearchParams(user === undefined ? { period } : { user, period });
  const body = await client.call({ method: 'GET', path: `/account?${query.toString()}` });
  return body.andThen((value) =>
    parseReport(value).mapErr(({ message }) =>
      createCallFailure('internal', `the server sent a report that cannot be read: ${message}`),
    ),
  );
}
