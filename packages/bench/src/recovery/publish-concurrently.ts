import type { Fault } from './fault.js';
import { recoveryDeclaration } from './recovery-declaration.js';
import type { RecoveryCell } from './recovery-cell.js';

const ROUNDS = 5;
const SPREAD_TIMEOUT_MS = 20_000;

/**
 * Publishes two configurations with the same base revision through two processes at once; exactly one
 * must be accepted and the other rejected with `revision-conflict`.
 */
export const publishConcurrently: Fault = async ({ cell }) => {
  let spreadMs = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    const baseRevision = await readRevision(cell);
    const publish = (index: number) =>
      cell.call(index, 'POST', '/configuration', {
        baseRevision,
        text: recoveryDeclaration(`r${round}-${index}`),
      });
    const answers = await Promise.all([publish(0), publish(1)]);
    const startMs = cell.clock.monotonicMs();
    const accepted = answers.filter((answer) => answer.type === 'reply');
    const rejected = answers.filter(
      (answer) => answer.type === 'error' && answer.kind === 'revision-conflict',
    );
    if (accepted.length !== 1 || rejected.length !== 1) {
      throw new Error(
        `of two publications on revision ${baseRevision} one must be accepted and one rejected, ` +
          `but the answers were ${JSON.stringify(answers)}`,
      );
    }
    await waitForRevision(cell, baseRevision + 1);
    spreadMs = Math.max(spreadMs, cell.clock.monotonicMs() - startMs);
  }
  return { configurationSpreadMs: spreadMs };
};

async function readRevision(cell: RecoveryCell): Promise<number> {
  const answer = await cell.call(0, 'GET', '/configuration');
  if (answer.type !== 'reply') {
    throw new Error(`process 0 did not return its configuration: ${JSON.stringify(answer)}`);
  }
  return (answer.body as { revision: number }).revision;
}

/** Waits until the revision is in force at every process and records the configuration of each. */
async function waitForRevision(cell: RecoveryCell, revision: number): Promise<void> {
  const updatedIndexes = new Set<number>();
  await cell.waitUntil(
    `revision ${revision} at every process`,
    async () => {
      for (const index of cell.processAddresses.keys()) {
        if (updatedIndexes.has(index)) continue;
        if ((await cell.observeConfiguration(index)) >= revision) updatedIndexes.add(index);
      }
      return updatedIndexes.size === cell.processAddresses.length;
    },
    SPREAD_TIMEOUT_MS,
  );
}
