import { hasLabel } from './has-label.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';

/**
 * Returns whether the worker belongs to the service of the step and has the label that the step
 * requires. A worker on probation runs neither prompt steps nor gangs.
 */
export function canRunOn(step: ReadyStep, worker: PlannedWorker): boolean {
  if (worker.service !== step.queue.service) return false;
  if (worker.isOnProbation && (step.queue.priority === 0 || step.step.gang)) return false;
  return hasLabel(worker, step.step.label);
}
