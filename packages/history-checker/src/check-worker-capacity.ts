import type { Resources } from '@acaciahoist/types/resources';
import type { Check } from './check.js';
import type { EventOf } from './event-of.js';
import type { Violation } from './violation.js';

/** Promise 1 for workers: the demand of a worker's running tasks never exceeds its capacity. */
export const checkWorkerCapacity: Check = (events) => {
  const capacities = new Map<string, EventOf<'worker-capacity'>>();
  const running = new Map<string, EventOf<'task-began'>[]>();
  const violations: Violation[] = [];
  for (const event of events) {
    if (event.type === 'worker-capacity') capacities.set(event.worker, event);
    else if (event.type === 'endpoint-lost') running.delete(event.endpoint);
    else if (event.type === 'task-ended') {
      const active = running.get(event.worker) ?? [];
      running.set(event.worker, removeTask(active, event.taskId));
    } else if (event.type === 'task-began') {
      const tasks = [...(running.get(event.worker) ?? []), event];
      running.set(event.worker, tasks);
      const capacity = capacities.get(event.worker);
      const exceeded =
        capacity === undefined ? 'capacity' : findExceeded(tasks, capacity.resources);
      if (exceeded === undefined) continue;
      const message = `The tasks of worker ${event.worker} need more than its ${exceeded}.`;
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

/** Returns the name of a resource that the tasks need more of than there is. */
function findExceeded(
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
