import { Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import type { Declaration } from '@acaciahoist/types/declaration';
import { quote } from './quote.js';

type Layout = Pick<Declaration, 'dataCentres' | 'period'>;

/**
 * Rejects a change of the partition layout with `bad-declaration`. Jobs and keys are assigned to
 * partitions by hashing over all partitions, so a change would move them. The length of account
 * periods is fixed too, because the replay of journals depends on it. The order and the regions of
 * data centres may change. Returns `after` if the layout is the same.
 */
export function checkLayoutChange(
  before: Layout,
  after: Declaration,
): Result<Declaration, Failure> {
  const formerPartitions = new Map(
    before.dataCentres.map(({ name, partitions }) => [name, partitions]),
  );
  const changes: string[] = [];
  if (before.period !== after.period)
    changes.push(`the period is ${quote(after.period)} instead of ${quote(before.period)}`);
  for (const { name, partitions } of after.dataCentres) {
    const former = formerPartitions.get(name);
    formerPartitions.delete(name);
    if (former === undefined) changes.push(`data centre ${quote(name)} is added`);
    else if (former !== partitions)
      changes.push(`data centre ${quote(name)} has ${partitions} partitions instead of ${former}`);
  }
  for (const name of formerPartitions.keys()) changes.push(`data centre ${quote(name)} is removed`);
  if (changes.length === 0) return Result.ok(after);
  const message = `the partition layout is fixed by the first revision, but ${changes.join(', ')}; keep the data centres, their partitions and the period as they are`;
  return Result.err(Failure.create('bad-declaration', message, { changes }));
}
