import type { Check } from './check.js';
import type { EventOf } from './event-of.js';
import type { Violation } from './violation.js';

/** Promise 1 for runners: a runner never serves more requests at once than it has slots. */
export const checkRunnerCapacity: Check = (events) => {
  const capacities = new Map<string, EventOf<'runner-capacity'>>();
  const running = new Map<string, EventOf<'runner-began'>[]>();
  const violations: Violation[] = [];
  for (const event of events) {
    if (event.type === 'runner-capacity') capacities.set(event.runner, event);
    else if (event.type === 'endpoint-lost') running.delete(event.endpoint);
    else if (event.type === 'runner-ended') {
      const { runner, requestId, incarnation } = event;
      const active = running.get(runner) ?? [];
      const index = active.findIndex(
        (began) => began.requestId === requestId && began.incarnation === incarnation,
      );
      if (index >= 0) running.set(runner, active.toSpliced(index, 1));
    } else if (event.type === 'runner-began') {
      const requests = [...(running.get(event.runner) ?? []), event];
      running.set(event.runner, requests);
      const capacity = capacities.get(event.runner);
      if (requests.length <= (capacity?.slots ?? 0)) continue;
      const message = `Runner ${event.runner} serves ${requests.length} requests at once, more than its slots.`;
      const evidence = capacity === undefined ? requests : [capacity, ...requests];
      violations.push({ promise: 1, message, events: evidence });
    }
  }
  return violations;
};
