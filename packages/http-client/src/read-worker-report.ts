import type { WorkerReport } from '@acaciahoist/types/worker-report';
import { TaskOutcome } from '@acaciahoist/types/task-outcome';
import type { JsonFields } from './json-fields.js';
import { readResources } from './read-resources.js';

const MAX_TASKS = 20_000;

/** Reads the report of a worker on its tasks. Ended tasks have an outcome, running tasks have none. */
export function readWorkerReport(fields: JsonFields): WorkerReport {
  return {
    sequence: fields.integer('sequence'),
    incarnation: fields.text('incarnation'),
    tasks: fields.list('tasks', MAX_TASKS, (task) => {
      const state = task.oneOf('state', ['running', 'ended']);
      const taskReport = {
        taskId: task.text('taskId'),
        state,
        usage: readResources(task.object('usage')),
        throttled: task.flag('throttled'),
        progressMs: task.number('progressMs'),
      };
      if (state === 'running') return taskReport;
      return { ...taskReport, outcome: task.oneOf('outcome', Object.values(TaskOutcome)) };
    }),
  };
}
