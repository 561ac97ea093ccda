import type { Fault } from './fault.js';
import type { RecoveryCell } from './recovery-cell.js';

const STOP_TIMEOUT_MS = 30_000;

/** Performs a planned stop (SIGTERM) of every process and starts it again, one process after another. */
export const replaceOneByOne: Fault = async ({ cell }) => {
  for (const index of cell.processAddresses.keys()) {
    await replace(cell, index);
    await cell.waitUntil(`readiness of process ${index}`, () =>
      cell.readyIndexes().includes(index),
    );
  }
  return {};
};

async function replace(cell: RecoveryCell, index: number): Promise<void> {
  cell.beginStop(index);
  if (!(await cell.process(index).waitForExit(STOP_TIMEOUT_MS))) {
    throw new Error(
      `the stop did not end: process ${index} runs ${STOP_TIMEOUT_MS} ms after SIGTERM`,
    );
  }
  cell.startProcess(index);
}
