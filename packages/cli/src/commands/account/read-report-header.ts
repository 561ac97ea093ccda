import { Result } from 'true-myth/result';
import type { CallFailure } from '../../call-failure.js';
import { createCallFailure } from '../../create-call-failure.js';
import { periodBounds } from '@acaciahoist/account/period-bounds';

/** Reads the period and the user of a report text, which select the report to compare it with. */
export function readReportHeader(
  text: string,
): Result<{ period: string; user: string | undefined }, CallFailure> {
  const [title, periodLine = '', , userLine = ''] = text.split('\n', 4);
  const period = /^period ([0-9-]{7,10}) UTC$/.exec(periodLine)?.[1];
  const usersText = /^users (.+)$/.exec(userLine)?.[1];
  if (title !== 'acaciahoist account report 1' || period === undefined || usersText === undefined)
    return rejectHeader('the first lines are not those of a report of version 1');
  if (periodBounds(period) === undefined) return rejectHeader(`line 2: ${period} is not a period`);
  if (usersText === '(all)') return Result.ok({ period, user: undefined });
  if (!/^[a-z0-9-]+$/.test(usersText))
    return rejectHeader('line 4 names several users; use --rows with the rows of the same users');
  return Result.ok({ period, user: usersText });
}

function rejectHeader(problem: string): Result<never, CallFailure> {
  const message = `${problem}; give a file written by "account show"`;
  return Result.err(createCallFailure('bad-request', message));
}
