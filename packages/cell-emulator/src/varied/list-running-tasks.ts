import type { HistoryEvent } from '../history-event.js';

/** Returns the worker of each task that runs after these events, by the name of the task. */
export function listRunningTasks(history: readonly HistoryEvent[]): Map<string, string> {
  const running = new Map<string, string>();
  for (const { kind, task, worker } of history) {
    if (kind === 'started') running.set(task, worker);
    if (kind === 'ended') running.delete(task);
  }
  return running;
}
