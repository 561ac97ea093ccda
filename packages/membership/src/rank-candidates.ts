import { createHash } from 'node:crypto';

/**
 * Orders the candidates for a partition by rendezvous hashing. All processes compute the same order, and
 * the removal of a process reassigns only the partitions for which it came first.
 */
export function rankCandidates(
  partition: string,
  candidates: readonly string[],
): readonly string[] {
  const weight = (name: string): string =>
    createHash('sha256').update(`${partition}\n${name}`).digest('hex');
  return candidates
    .map((name) => ({ name, weight: weight(name) }))
    .sort((a, b) => (a.weight < b.weight ? 1 : -1))
    .map(({ name }) => name);
}
