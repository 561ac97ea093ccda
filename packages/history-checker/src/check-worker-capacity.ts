import type { Resources } from '@acaciahoist/types/resources';
import type { Check } from './check.js';
import type { EventOf } from './event-of.js';
import type { Violation } from './violation.js';

/** Promise 1 for workers: the demand of a worker's running tasks never exceeds its capacity. */
export const checkWorkerCapacity: Check = (events) => {
  const capacities = new Map<string, EventOf<'worker-capacity'>>();
  const tasksByWorker = new Map<string, EventOf<'task-began'>[]>();
  const violations: Violation[] = [];
  for (const event of events) {
    if (event.type === 'worker-capacity') capacities.set(event.worker, event);
    else if (event.type === 'endpoint-lost') tasksByWorker.delete(event.endpoint);
    else if (event.type === 'task-ended') {
      const tasks = tasksByWorker.get(event.worker) ?? [];
      tasksByWorker.set(event.worker, removeTask(tasks, event.taskId));
    } else if (event.type === 'task-began') {
      const tasks = [...(tasksByWorker.get(event.worker) ?? []), event];
      tasksByWorker.set(event.worker, tasks);
      const capacity = capacities.get(event.worker);
      const exceededResource =
        capacity === undefined ? 'capacity' : findExceededResource(tasks, capacity.resources);
      if (exceededResource === undefined) continue;
      const message = `The tasks of worker ${event.worker} need more than its ${exceededResource}.`;
      const evidence = capacity === undefined ? tasks : [capacity, ...tasks];
      violations.push({ promise: 1, message, events: evidence });
    }
  }
  return violations;
};

function removeTask(
  tasks: readonly EventOf<'task-began'>[],
  taskId: string,
): EventOf<'task-began'>[] {
  // A task that runs twice at a worker is counted twice; one end removes one run only.
  const index = tasks.findIndex((task) => task.taskId === taskId);
  return index < 0 ? [...tasks] : tasks.toSpliced(index, 1);
}

/** Returns the name of a resource of which the tasks need more than the capacity. */
function findExceededResource(
  tasks: readonly EventOf<'task-began'>[],
  capacity: Resources,
): string | undefined {
  const sum = (read: (resources: Resources) => number): number =>
    tasks.reduce((total, task) => total + read(task.resources), 0);
  if (sum(({ millicores }) => millicores) > capacity.millicores) return 'processors';
  if (sum(({ memoryMib }) => memoryMib) > capacity.memoryMib) return 'memory';
  const kinds = new Set(tasks.flatMap((task) => Object.keys(task.resources.accelerators)));
  return [...kinds].find(
    (kind) =>
      sum(({ accelerators }) => accelerators[kind] ?? 0) > (capacity.accelerators[kind] ?? 0),
  );
}
