import type { Round } from './round.js';

/** Checkpoints the batch tasks of leaving workers; `placeServices` replaces the service tasks. */
export function drainWorkers(round: Round): void {
  const { workersToDrain } = round.partition;
  for (const worker of workersToDrain) {
    workersToDrain.delete(worker);
    for (const task of worker.tasks) {
      if (task.preemptiblePosition >= 0 && round.partition.mayCheckpoint(task)) {
        round.requestTaskEnd(task, 'checkpoint', `worker ${worker.address} leaves`);
      }
    }
  }
}
