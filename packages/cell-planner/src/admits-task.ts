import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';

/** Returns false for a best-effort task beside serving ones when none may start there now, whatever room it has. */
export function admitsTask(worker: PlannedWorker, { step }: ReadyStep): boolean {
  return !step.usesSpareCpu || worker.occupancy.startableBestEffortTasks > 0;
}
