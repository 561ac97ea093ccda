import type { Fault } from './fault.js';
import { recoveryJobs } from './recovery-jobs.js';

const JOB_COUNT = 30;

/** Cancels many jobs up to 60 ms after their submission, so that cancellations race with the starts. */
export const cancelBurst: Fault = async ({ cell, load, seed }) => {
  const processCount = cell.processAddresses.length;
  const cancellations = Array.from({ length: JOB_COUNT }, async (_, index) => {
    const spec = recoveryJobs(`burst-${seed}-${index}`, cell.clock.wallMs())[index % 3];
    const submitted = await cell.call(index % processCount, 'POST', '/jobs', spec);
    if (submitted.type !== 'reply') return;
    const { jobId } = submitted.body as { jobId: string };
    load.jobIds.add(jobId);
    await cell.pause((index * 7) % 60);
    const path = `/jobs/${encodeURIComponent(jobId)}`;
    await cell.call((index + 1) % processCount, 'DELETE', path);
  });
  await Promise.all(cancellations);
  return {};
};
