import type { CellState } from '@acaciahoist/cell-state';
import type { EventLog } from '@acaciahoist/types/event-log';
import type { BegunJobs } from './begun-jobs.js';

/**
 * Logs, for each queue, how many jobs are pending, and how many have recorded starts none of which a worker
 * has confirmed.
 */
export function reportPending(
  state: Pick<CellState, 'pendingCounts'>,
  begunJobs: Pick<BegunJobs, 'countUnconfirmed'>,
  log: EventLog,
): void {
  const unconfirmed = begunJobs.countUnconfirmed();
  for (const [queue, pending] of state.pendingCounts)
    if (pending > 0)
      log('info', 'jobs-waiting', {
        queue,
        waiting: pending,
        unconfirmed: unconfirmed.get(queue) ?? 0,
      });
}
