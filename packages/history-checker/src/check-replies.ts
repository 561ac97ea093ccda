import type { Check } from './check.js';
import type { EventOf } from './event-of.js';
import { groupBy } from './group-by.js';
import { selectEvents } from './select-events.js';
import type { Violation } from './violation.js';

/** Promise 3: a caller receives one answer, and a reply is complete and belongs to its own request. */
export const checkReplies: Check = (events) => {
  const answered = groupBy(selectEvents(events, 'request-answered'), (event) => event.requestId);
  const began = selectEvents(events, 'runner-began');
  const ended = groupBy(selectEvents(events, 'runner-ended'), (event) => event.requestId);
  const asked = new Map(
    selectEvents(events, 'request-asked').map((request) => [request.requestId, request]),
  );
  const runsOfKey = groupBy(began, (event) => event.key);
  const violations: Violation[] = [];
  for (const [requestId, answers] of answered) {
    if (answers.length > 1) {
      const message = `Request ${requestId} was answered ${answers.length} times.`;
      violations.push({ promise: 3, message, events: answers });
    }
    const key = asked.get(requestId)?.key ?? null;
    // A call with a key may receive the reply to an earlier call with the same key.
    const ids = key === null ? [] : (runsOfKey.get(key) ?? []).map((event) => event.requestId);
    const own = [requestId, ...ids].flatMap((id) => ended.get(id) ?? []);
    for (const answer of answers) violations.push(...checkReply(answer, own));
  }
  return violations;
};

/** Checks one answer against the ended runs whose reply it may carry. */
function checkReply(
  answered: EventOf<'request-answered'>,
  own: readonly EventOf<'runner-ended'>[],
): Violation[] {
  const { answer, requestId } = answered;
  if (answer.type !== 'reply') return [];
  if (!answer.isComplete) {
    const message = `Request ${requestId} received an incomplete reply.`;
    return [{ promise: 3, message, events: [answered] }];
  }
  const isOwn = own.some(
    (ended) => ended.replyDigest === answer.bodyDigest && ended.atMs <= answered.atMs,
  );
  if (isOwn) return [];
  const message = `Request ${requestId} received a reply that no runner sent for it.`;
  return [{ promise: 3, message, events: [...own, answered] }];
}
