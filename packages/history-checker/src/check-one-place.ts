import type { Check } from './check.js';
import type { EventOf } from './event-of.js';
import type { Violation } from './violation.js';

/** Promise 2: a task runs at one worker at a time. Runs at a lost worker count as ended. */
export const checkOnePlace: Check = (events) => {
  const running = new Map<string, EventOf<'task-began'>[]>();
  const violations: Violation[] = [];
  for (const event of events) {
    if (event.type === 'endpoint-lost') {
      for (const [taskId, places] of running) {
        const remaining = places.filter((place) => place.worker !== event.endpoint);
        running.set(taskId, remaining);
      }
    } else if (event.type === 'task-ended') {
      const places = running.get(event.taskId) ?? [];
      const index = places.findIndex((place) => place.worker === event.worker);
      if (index >= 0) running.set(event.taskId, places.toSpliced(index, 1));
    } else if (event.type === 'task-began') {
      const places = [...(running.get(event.taskId) ?? []), event];
      running.set(event.taskId, places);
      if (places.length < 2) continue;
      const workers = places.map((place) => place.worker).join(' and ');
      const message = `Task ${event.taskId} runs at ${workers} at once.`;
      violations.push({ promise: 2, message, events: places });
    }
  }
  return violations;
};
