import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';

/**
 * True when the worker belongs to the step's service, has the label that the step needs, and is not on
 * probation where the step is urgent or a gang.
 */
export function canRunOn(step: ReadyStep, worker: PlannedWorker): boolean {
  if (worker.service !== step.queue.service) return false;
  if (worker.probation && (step.queue.priority === 0 || step.step.gang)) return false;
  return step.step.label === '' || worker.labels.includes(step.step.label);
}
