import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';

/** True when the worker belongs to the step's service and has the label that the step needs. */
export function canRunOn(step: ReadyStep, worker: PlannedWorker): boolean {
  if (worker.service !== step.queue.service) return false;
  return step.step.label === '' || worker.labels.includes(step.step.label);
}
