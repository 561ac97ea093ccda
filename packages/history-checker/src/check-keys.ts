import type { Check } from './check.js';
import { groupBy } from './group-by.js';
import type { HistoryEvent } from './history-event.js';
import { selectEvents } from './select-events.js';
import type { Violation } from './violation.js';

/**
 * Promise 5: work with a key runs at most once. Also checks the rules that ensure this: the claim of the
 * key is in the journal before the run, one outcome is recorded, and it is recorded before the reply is sent.
 */
export const checkKeys: Check = (events) => [
  ...findRepeatedRuns(events),
  ...findUnclaimedRuns(events),
  ...findRepeatedOutcomes(events),
  ...findUnrecordedReplies(events),
];

/** Finds keys whose request, or whose part of a job, ran more than once. */
function findRepeatedRuns(events: readonly HistoryEvent[]): Violation[] {
  const runsByKey = groupBy(selectEvents(events, 'runner-began'), (event) => event.key);
  const runsByKeyAndPart = groupBy(selectEvents(events, 'task-began'), ({ key, part }) =>
    key === null ? null : `${key} part ${part}`,
  );
  const runGroups: [string, HistoryEvent[]][] = [...runsByKey, ...runsByKeyAndPart];
  return runGroups
    .filter(([, group]) => group.length > 1)
    .map(([key, group]) =>
      createViolation(`Work with key ${key} ran ${group.length} times.`, group),
    );
}

/** Finds runs that began before their key was claimed. */
function findUnclaimedRuns(events: readonly HistoryEvent[]): Violation[] {
  const claimsByKey = groupBy(selectEvents(events, 'key-claimed'), (event) => event.key);
  return selectEvents(events, 'runner-began').flatMap((run) => {
    if (run.key === null) return [];
    const isClaimed = (claimsByKey.get(run.key) ?? []).some((claim) => claim.atMs <= run.atMs);
    return isClaimed
      ? []
      : [createViolation(`Work with key ${run.key} ran before the key was claimed.`, [run])];
  });
}

/** Finds keys with more than one outcome; refusals before the first other outcome are permitted. */
function findRepeatedOutcomes(events: readonly HistoryEvent[]): Violation[] {
  const outcomesByKey = groupBy(selectEvents(events, 'outcome-recorded'), (event) => event.key);
  return [...outcomesByKey].flatMap(([key, outcomes]) => {
    // A refused request was not sent to a runner, so its key may be claimed again and get an outcome.
    const finalOutcomes = outcomes.filter(({ outcome }) => outcome !== 'refused');
    const last = outcomes.at(-1);
    const isReopened = finalOutcomes.length > 0 && last?.outcome === 'refused';
    if (finalOutcomes.length < 2 && !isReopened) return [];
    return [createViolation(`Key ${key} has more than one outcome.`, outcomes)];
  });
}

/** Finds replies that were sent before the outcome of their key was recorded. */
function findUnrecordedReplies(events: readonly HistoryEvent[]): Violation[] {
  const outcomesByKey = groupBy(selectEvents(events, 'outcome-recorded'), (event) => event.key);
  const keysByRequest = new Map(
    selectEvents(events, 'request-asked').map((request) => [request.requestId, request.key]),
  );
  return selectEvents(events, 'request-answered').flatMap((event) => {
    const key = keysByRequest.get(event.requestId) ?? null;
    if (key === null || event.answer.type !== 'reply') return [];
    const isRecorded = (outcomesByKey.get(key) ?? []).some((record) => record.atMs <= event.atMs);
    return isRecorded
      ? []
      : [createViolation(`Key ${key} was answered before its outcome was recorded.`, [event])];
  });
}

function createViolation(message: string, events: readonly HistoryEvent[]): Violation {
  return { promise: 5, message, events };
}
