import type { PartitionState } from './partition-state.js';
import type { PlacementView } from './placement-view.js';
import { vectors } from './vectors.js';

/** Returns the summary of the placement of a partition for operators and metrics. */
export function describePartition(partition: PartitionState): PlacementView {
  const workers: Record<string, number> = {};
  const used: number[] = [];
  for (const worker of partition.workerTable.workers) {
    workers[worker.state] = (workers[worker.state] ?? 0) + 1;
    vectors.addTo(used, worker.used);
  }
  const usedPerMille: Record<string, number> = {};
  partition.workerTable.totalCapacity.forEach((total, i) => {
    if (total > 0) {
      usedPerMille[partition.resourceKinds.getName(i)] = Math.round(
        (vectors.at(used, i) * 1000) / total,
      );
    }
  });
  const teams = [...partition.teams.values()];
  return {
    workers,
    tasks: partition.tasks.size,
    jobs: partition.jobs.size,
    waiting: {
      urgent: partition.urgentQueue.size,
      service: partition.serviceQueue.size,
      gang: partition.gangQueue.size,
      batch: teams.reduce((sum, team) => sum + team.queue.size, 0),
    },
    reservations: [...partition.reservations].map(({ job, plan, readyAtMs }) => ({
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
