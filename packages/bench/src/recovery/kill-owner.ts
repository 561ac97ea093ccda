import type { Fault } from './fault.js';
import { pickKey } from './pick-key.js';

const PARTITION = 'dc-a.0';
const TAKE_OVER_TIMEOUT_MS = 20_000;

/**
 * Kills the owner (kill -9) and measures the time until its successor completes a request with a key of
 * the partition.
 */
export const killOwner: Fault = async ({ cell, load, seed }) => {
  const ownerIndex = await cell.ownerOf(PARTITION);
  const startMs = cell.clock.monotonicMs();
  cell.process(ownerIndex).signal('SIGKILL');
  await cell.process(ownerIndex).exited;
  let attempt = 0;
  await cell.waitUntil(
    'a completed request with a key after the kill',
    async () => {
      const key = pickKey(cell, PARTITION, `probe-${seed}-${startMs}-${attempt++}`);
      const index = cell.readyIndexes().find((readyIndex) => readyIndex !== ownerIndex);
      if (index === undefined) return false;
      return (await load.sendRequest(index, 'sealing', key)).type === 'reply';
    },
    TAKE_OVER_TIMEOUT_MS,
  );
  const takeOverMs = cell.clock.monotonicMs() - startMs;
  cell.startProcess(ownerIndex);
  return { takeOverMs };
};
