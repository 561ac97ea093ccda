import type { Round } from './round.js';

/** Number of stops in one round after which the remaining jobs wait for the next round. */
const STOPS_PER_ROUND = 256;

/**
 * Stops the tasks of cancelled and failed jobs, and of gangs whose tasks must all start again.
 */
export function stopTasks(round: Round): void {
  const { jobsToStop } = round.partition;
  let stops = 0;
  while (jobsToStop.length > 0 && stops < STOPS_PER_ROUND) {
    const job = jobsToStop[0];
    if (job === undefined) return;
    const reason = job.isRestarting
      ? 'the gang starts again as a whole'
      : (job.explanation?.subject ?? '');
    for (const task of job.tasks) {
      if (task.worker === null || task.state === 'stopping') continue;
      round.requestTaskEnd(task, 'stop', reason);
      stops += 1;
    }
    jobsToStop.shift();
  }
}
