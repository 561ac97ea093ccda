import { Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import type { ClosedPeriod } from './closed-period.js';
import { firstDigest } from './first-digest.js';
import { periodDigest } from './period-digest.js';

/**
 * Checks the closed periods of one partition, oldest first: each digest must match the content of
 * its period, and the previous digest that of the period before it. Fails with `internal` and names
 * the first period that does not match.
 */
export function verifyChain(
  periods: readonly ClosedPeriod[],
): Result<readonly ClosedPeriod[], Failure> {
  let previous = firstDigest;
  for (const period of periods) {
    const subject = `closed period ${period.period} of partition ${period.partition}`;
    if (period.previousDigest !== previous) {
      const message = `${subject} does not follow the digest ${previous}; a period is missing, added or changed`;
      return Result.err(Failure.create('internal', message));
    }
    if (periodDigest(period) !== period.digest) {
      const message = `${subject} does not have the digest ${period.digest}; its rows were changed`;
      return Result.err(Failure.create('internal', message));
    }
    previous = period.digest;
  }
  return Result.ok(periods);
}
