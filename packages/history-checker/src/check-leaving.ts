import type { Check } from './check.js';
import type { EventOf } from './event-of.js';
import type { Violation } from './violation.js';

/** Promise 6: an endpoint that is listed as leaving receives no new work after the limit. */
export const checkLeaving: Check = (events, { leavingMs }) => {
  const firstListings = new Map<string, EventOf<'endpoint-leaving'>>();
  const violations: Violation[] = [];
  for (const event of events) {
    if (event.type === 'endpoint-leaving') {
      // The platform may list the endpoint several times; the limit counts from the first.
      if (!firstListings.has(event.endpoint)) firstListings.set(event.endpoint, event);
    } else if (event.type === 'endpoint-returned') firstListings.delete(event.endpoint);
    else if (event.type === 'runner-began' || event.type === 'task-began') {
      const endpoint = event.type === 'runner-began' ? event.runner : event.worker;
      const firstListing = firstListings.get(endpoint);
      if (firstListing === undefined || event.atMs <= firstListing.atMs + leavingMs) continue;
      const lateMs = event.atMs - firstListing.atMs;
      const message = `${endpoint} received new work ${lateMs} ms after it was listed as leaving.`;
      violations.push({ promise: 6, message, events: [firstListing, event] });
    }
  }
  return violations;
};
