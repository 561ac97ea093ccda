import type { RecoveryCell } from './recovery-cell.js';

/** Waits for the outcomes of accepted jobs; the result is `unfinished` for a job without one in `withinMs`. */
export async function waitForOutcomes(
  cell: RecoveryCell,
  jobIds: readonly string[],
  withinMs: number,
): Promise<ReadonlyMap<string, string>> {
  const outcomes = new Map<string, string>();
  const endMs = cell.clock.monotonicMs() + withinMs;
  const hasTime = (): boolean => cell.clock.monotonicMs() < endMs;
  while (outcomes.size < jobIds.length && hasTime()) {
    for (const jobId of jobIds.filter((id) => !outcomes.has(id))) {
      const index = cell.readyIndexes()[0];
      // Each of many jobs may take the whole timeout of its call.
      if (index === undefined || !hasTime()) break;
      const path = `/jobs/${encodeURIComponent(jobId)}`;
      const answer = await cell.call(index, 'GET', path, undefined, {}, 2_000);
      if (answer.type !== 'reply') continue;
      const { outcome } = answer.body as { outcome?: string };
      if (outcome !== undefined) outcomes.set(jobId, outcome);
    }
    await cell.pause(50);
  }
  for (const jobId of jobIds) if (!outcomes.has(jobId)) outcomes.set(jobId, 'unfinished');
  return outcomes;
}
