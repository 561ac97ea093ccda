import type { Check } from './check.js';
import type { EventOf } from './event-of.js';
import type { Violation } from './violation.js';

/** Promise 1 for runners: a runner never serves more requests at once than it has slots. */
export const checkRunnerCapacity: Check = (events) => {
  const capacities = new Map<string, EventOf<'runner-capacity'>>();
  const requestsByRunner = new Map<string, EventOf<'runner-began'>[]>();
  const violations: Violation[] = [];
  for (const event of events) {
    if (event.type === 'runner-capacity') capacities.set(event.runner, event);
    else if (event.type === 'endpoint-lost') requestsByRunner.delete(event.endpoint);
    else if (event.type === 'runner-ended') {
      const { runner, requestId, incarnation } = event;
      const requests = requestsByRunner.get(runner) ?? [];
      const index = requests.findIndex(
        (began) => began.requestId === requestId && began.incarnation === incarnation,
      );
      if (index >= 0) requestsByRunner.set(runner, requests.toSpliced(index, 1));
    } else if (event.type === 'runner-began') {
      const requests = [...(requestsByRunner.get(event.runner) ?? []), event];
      requestsByRunner.set(event.runner, requests);
      const capacity = capacities.get(event.runner);
      const slots = capacity?.slots ?? 0;
      if (requests.length <= slots) continue;
      const message = `Runner ${event.runner} serves ${requests.length} requests at once but has ${slots} recorded slots.`;
      const evidence = capacity === undefined ? requests : [capacity, ...requests];
      violations.push({ promise: 1, message, events: evidence });
    }
  }
  return violations;
};
