import type { Fault } from './fault.js';

const OWNERS_TIMEOUT_MS = 30_000;

/** Kills all processes (kill -9) at the same time and starts all of them again. */
export const replaceAllAtOnce: Fault = async ({ cell }) => {
  const indexes = [...cell.processAddresses.keys()];
  for (const index of indexes) cell.process(index).signal('SIGKILL');
  await Promise.all(indexes.map((index) => cell.process(index).exited));
  for (const index of indexes) cell.startProcess(index);
  const hasAllOwners = async (): Promise<boolean> => (await cell.owners()).size === 2;
  await cell.waitUntil('an owner of each partition', hasAllOwners, OWNERS_TIMEOUT_MS);
  return {};
};
