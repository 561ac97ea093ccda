import type { Check } from './check.js';
import type { EventOf } from './event-of.js';
import { groupBy } from './group-by.js';
import { selectEvents } from './select-events.js';
import type { Violation } from './violation.js';

/** Promise 3: a caller receives one answer, and a reply is complete and belongs to its own request. */
export const checkReplies: Check = (events) => {
  const answersByRequest = groupBy(
    selectEvents(events, 'request-answered'),
    (event) => event.requestId,
  );
  const runs = selectEvents(events, 'runner-began');
  const endedRunsByRequest = groupBy(
    selectEvents(events, 'runner-ended'),
    (event) => event.requestId,
  );
  const requests = new Map(
    selectEvents(events, 'request-asked').map((request) => [request.requestId, request]),
  );
  const runsByKey = groupBy(runs, (event) => event.key);
  const violations: Violation[] = [];
  for (const [requestId, answers] of answersByRequest) {
    if (answers.length > 1) {
      const message = `Request ${requestId} was answered ${answers.length} times.`;
      violations.push({ promise: 3, message, events: answers });
    }
    const key = requests.get(requestId)?.key ?? null;
    // A call with a key may receive the reply to an earlier call with the same key.
    const keyRequestIds =
      key === null ? [] : (runsByKey.get(key) ?? []).map((event) => event.requestId);
    const possibleRuns = [requestId, ...keyRequestIds].flatMap(
      (id) => endedRunsByRequest.get(id) ?? [],
    );
    for (const answer of answers) violations.push(...checkReply(answer, possibleRuns));
  }
  return violations;
};

/** Checks one answer against the ended runs whose reply it may carry. */
function checkReply(
  answered: EventOf<'request-answered'>,
  possibleRuns: readonly EventOf<'runner-ended'>[],
): Violation[] {
  const { answer, requestId } = answered;
  if (answer.type !== 'reply') return [];
  if (!answer.isComplete) {
    const message = `Request ${requestId} received an incomplete reply.`;
    return [{ promise: 3, message, events: [answered] }];
  }
  const isSentByRun = possibleRuns.some(
    (ended) => ended.replyDigest === answer.bodyDigest && ended.atMs <= answered.atMs,
  );
  if (isSentByRun) return [];
  const message = `Request ${requestId} received a reply that no runner sent for it.`;
  return [{ promise: 3, message, events: [...possibleRuns, answered] }];
}
