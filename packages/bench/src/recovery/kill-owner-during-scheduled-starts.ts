import type { Fault } from './fault.js';
import { killOwner } from './kill-owner.js';
import { recoveryJobs } from './recovery-jobs.js';

const JOB_COUNT = 40;
const FIRST_START_DELAY_MS = 800;
const START_INTERVAL_MS = 10;
/** Falls between the first and the last start time. */
const KILL_AFTER_MS = 1_000;

/** Kills the owner (kill -9) while scheduled jobs that must not run twice are being started. */
export const killOwnerDuringScheduledStarts: Fault = async (run) => {
  const { cell, load, seed } = run;
  const nowMs = cell.clock.wallMs();
  const submitted = Array.from({ length: JOB_COUNT }, async (_, index) => {
    const spec = recoveryJobs(`dated-${seed}-${index}`, nowMs).find((job) => !job.repeatable);
    if (spec === undefined) return;
    const startAtMs = Math.round(nowMs + FIRST_START_DELAY_MS + index * START_INTERVAL_MS);
    await load.submit({ ...spec, startAtMs });
  });
  await Promise.all([...submitted, cell.pause(KILL_AFTER_MS)]);
  return killOwner(run);
};
