import type { PlannedWorker } from './planned-worker.js';

/** Returns whether the worker has the label that a step requires; an empty one requires nothing. */
export function hasLabel(worker: PlannedWorker, label: string): boolean {
  return label === '' || worker.labels.includes(label);
}
