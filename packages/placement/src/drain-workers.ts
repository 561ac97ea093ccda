import type { Round } from './round.js';

/** Checkpoints the batch work of workers that leave; services are replaced by their own rule. */
export function drainWorkers(round: Round): void {
  const { workersToDrain } = round.cell;
  for (const worker of workersToDrain) {
    workersToDrain.delete(worker);
    for (const task of worker.tasks) {
      if (task.preemptiblePosition >= 0 && round.cell.mayCheckpoint(task)) {
        round.requestTaskEnd(task, 'checkpoint', `worker ${worker.address} leaves`);
      }
    }
  }
}
