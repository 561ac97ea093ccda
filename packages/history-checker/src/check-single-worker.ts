import type { Check } from './check.js';
import type { EventOf } from './event-of.js';
import type { Violation } from './violation.js';

/** Promise 2: a task runs at one worker at a time. Runs at a lost worker count as ended. */
export const checkSingleWorker: Check = (events) => {
  const runsByTask = new Map<string, EventOf<'task-began'>[]>();
  const violations: Violation[] = [];
  for (const event of events) {
    if (event.type === 'endpoint-lost') {
      for (const [taskId, runs] of runsByTask) {
        const remaining = runs.filter((run) => run.worker !== event.endpoint);
        runsByTask.set(taskId, remaining);
      }
    } else if (event.type === 'task-ended') {
      const runs = runsByTask.get(event.taskId) ?? [];
      const index = runs.findIndex((run) => run.worker === event.worker);
      if (index >= 0) runsByTask.set(event.taskId, runs.toSpliced(index, 1));
    } else if (event.type === 'task-began') {
      const runs = [...(runsByTask.get(event.taskId) ?? []), event];
      runsByTask.set(event.taskId, runs);
      if (runs.length < 2) continue;
      const workers = runs.map((run) => run.worker).join(' and ');
      const message = `Task ${event.taskId} runs at ${workers} at once.`;
      violations.push({ promise: 2, message, events: runs });
    }
  }
  return violations;
};
