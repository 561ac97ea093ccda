import type { Fault } from './fault.js';

/** Longer than the lease of 2.5 s plus the wait of a successor, so that another process takes over. */
const PAUSE_MS = 4_500;

/** Pauses the owner (SIGSTOP) until after its lease has expired, then resumes it (SIGCONT). */
export const pauseOwner: Fault = async ({ cell }) => {
  const partition = 'dc-a.0';
  const ownerIndex = await cell.ownerOf(partition);
  cell.process(ownerIndex).signal('SIGSTOP');
  const startMs = cell.clock.monotonicMs();
  await cell.pause(PAUSE_MS);
  cell.process(ownerIndex).signal('SIGCONT');
  await cell.waitUntil('an owner of the partition after the pause', async () =>
    (await cell.owners()).has(partition),
  );
  return { ownedAgainMs: cell.clock.monotonicMs() - startMs };
};
