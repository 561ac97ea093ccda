import type { Cell } from './cell.js';
import type { PlacementView } from './placement-view.js';
import { vectors } from './vectors.js';

/** Returns the summary of the placement of a partition for operators and metrics. */
export function describeCell(cell: Cell): PlacementView {
  const workers: Record<string, number> = {};
  const used: number[] = [];
  for (const worker of cell.workerTable.workers) {
    workers[worker.state] = (workers[worker.state] ?? 0) + 1;
    vectors.addTo(used, worker.used);
  }
  const usedPerMille: Record<string, number> = {};
  cell.workerTable.totalCapacity.forEach((total, i) => {
    if (total > 0) {
      usedPerMille[cell.resourceKinds.getName(i)] = Math.round(
        (vectors.at(used, i) * 1000) / total,
      );
    }
  });
  const teams = [...cell.teams.values()];
  return {
    workers,
    tasks: cell.tasks.size,
    jobs: cell.jobs.size,
    waiting: {
      urgent: cell.urgentQueue.size,
      service: cell.serviceQueue.size,
      gang: cell.gangQueue.size,
      batch: teams.reduce((sum, team) => sum + team.queue.size, 0),
    },
    reservations: [...cell.reservations].map(({ job, plan, readyAtMs }) => ({
      jobId: job.id,
      workers: plan.size,
      readyAtMs,
    })),
    usedPerMille,
    teams: teams.map((team) => ({
      name: team.name,
      sharePerMille: Math.round(team.share * 1000),
      quotaPerMille: team.quotaPerMille,
      waiting: team.queue.size,
    })),
  };
}
