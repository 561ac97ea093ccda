import type { Fault } from './fault.js';

const STOP_TIMEOUT_MS = 30_000;
const SECOND_SIGNAL_DELAY_MS = 200;

/** Begins a planned stop of the owner, sends a second SIGTERM while it stops, and starts it again. */
export const stopOwner: Fault = async ({ cell }) => {
  const ownerIndex = await cell.ownerOf('dc-a.0');
  const startMs = cell.clock.monotonicMs();
  cell.beginStop(ownerIndex);
  await cell.pause(SECOND_SIGNAL_DELAY_MS);
  cell.process(ownerIndex).signal('SIGTERM');
  if (!(await cell.process(ownerIndex).waitForExit(STOP_TIMEOUT_MS))) {
    throw new Error(
      `the stop did not end: process ${ownerIndex} runs ${STOP_TIMEOUT_MS} ms after the second SIGTERM`,
    );
  }
  const stopMs = cell.clock.monotonicMs() - startMs;
  cell.startProcess(ownerIndex);
  return { stopMs };
};
