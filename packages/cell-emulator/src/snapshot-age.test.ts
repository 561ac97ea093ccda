import { test } from 'node:test';
import { expect } from 'earl';
import { createJob } from './create-job.js';
import { EmulatedCell } from './emulated-cell.js';

/** Time in ms for which the store keeps the records of a log. */
const RECORD_RETENTION_MS = 20_000;
/** Time in ms between two losses of the owner, which is shorter than the interval of snapshots. */
const OWNER_LOSS_INTERVAL_MS = 3_000;
/** Time in ms after which a killed process runs again. */
const RESTART_DELAY_MS = 200;
/** Interval in ms at which the test lets records expire and queries the job at all processes. */
const STEP_MS = 200;

// Guards against accepted jobs that a restarted process does not know and reports as unknown: an owner that
// writes its first snapshot a whole interval after its claim writes none if it is replaced before, and after
// some such owners the log no longer has the records that follow the newest snapshot.
test('a restarted process knows an accepted job after owners that were each replaced within seconds', async () => {
  const cell = EmulatedCell.create({ seed: 61, processes: 4, workers: 2 });
  const advance = async (durationMs: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      await cell.advance(STEP_MS);
      cell.store.expireTopics(cell.clock.monotonicMs() - RECORD_RETENTION_MS);
      cell.checkJobStates();
    }
  };
  await cell.start();
  await advance(2_000);
  const submitted = cell.submit(createJob(1, [{ estimateMs: 90_000 }]), 'p0');
  await advance(400);
  expect(await submitted).toEqual('accepted');
  for (let count = 0; count < 14; count += 1) {
    const owner = cell.findOwnerName();
    if (owner !== undefined) cell.killProcess(owner);
    await advance(RESTART_DELAY_MS);
    if (owner !== undefined) await cell.startProcess(owner);
    await advance(OWNER_LOSS_INTERVAL_MS - RESTART_DELAY_MS);
  }
  expect(cell.listViolations()).toEqual([]);
  expect(cell.logLines.filter((line) => line.includes('records-lost'))).toEqual([]);
});
