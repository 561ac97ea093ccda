import type { Check } from './check.js';
import type { EventOf } from './event-of.js';
import { findConnectedSpans } from './find-connected-spans.js';
import { groupBy } from './group-by.js';
import type { HistoryEvent } from './history-event.js';
import { selectEvents } from './select-events.js';
import type { Violation } from './violation.js';

type InForce = EventOf<'configuration-in-force'>;

/**
 * Promise 8: an accepted configuration is in force at every connected process within the limit, and no
 * process goes back to an older revision.
 */
export const checkConfiguration: Check = (events, { configurationMs }) => {
  const accepted = selectEvents(events, 'configuration-accepted');
  const inForce = groupBy(selectEvents(events, 'configuration-in-force'), formatProcessId);
  return [
    ...findConflictingTexts(accepted),
    ...[...inForce.values()].flatMap((list) => [
      ...findReversals(list),
      ...findUnacceptedTexts(list, accepted),
    ]),
    ...findLateRevisions(events, accepted, inForce, configurationMs),
  ];
};

function formatProcessId({
  process,
  incarnation,
}: {
  process: string;
  incarnation: string;
}): string {
  return `${process} ${incarnation}`;
}

/** Finds revisions that were accepted with more than one text. */
function findConflictingTexts(accepted: readonly EventOf<'configuration-accepted'>[]): Violation[] {
  const byRevision = groupBy(accepted, (event) => String(event.revision));
  return [...byRevision].flatMap(([revision, group]) => {
    const texts = new Set(group.map((event) => event.textDigest));
    if (texts.size < 2) return [];
    return [createViolation(`Revision ${revision} was accepted with different texts.`, group)];
  });
}

function findReversals(list: readonly InForce[]): Violation[] {
  return list.flatMap((event, index) => {
    const before = list[index - 1];
    if (before === undefined || before.revision <= event.revision) return [];
    const change = `${before.revision} to ${event.revision}`;
    return [
      createViolation(`Process ${event.process} went back from revision ${change}.`, [
        before,
        event,
      ]),
    ];
  });
}

/** Finds texts in force at a process that were never accepted for their revision. */
function findUnacceptedTexts(
  list: readonly InForce[],
  accepted: readonly EventOf<'configuration-accepted'>[],
): Violation[] {
  return list.flatMap((event) => {
    const isAccepted = accepted.some(
      ({ revision, textDigest }) => revision === event.revision && textDigest === event.textDigest,
    );
    if (isAccepted) return [];
    const what = `a text for revision ${event.revision} that was not accepted`;
    return [createViolation(`Process ${event.process} uses ${what}.`, [event])];
  });
}

/**
 * Finds accepted revisions that are not in force in time. The limit counts from the acceptance, or from
 * the start of the span if the process became connected later.
 */
function findLateRevisions(
  events: readonly HistoryEvent[],
  accepted: readonly EventOf<'configuration-accepted'>[],
  inForce: ReadonlyMap<string, readonly InForce[]>,
  limitMs: number,
): Violation[] {
  const violations: Violation[] = [];
  for (const span of findConnectedSpans(events)) {
    const list = inForce.get(formatProcessId(span)) ?? [];
    for (const event of accepted) {
      const dueMs = Math.max(event.atMs, span.fromMs) + limitMs;
      if (dueMs >= span.toMs) continue;
      const isInForce = list.some(
        (configuration) => configuration.revision >= event.revision && configuration.atMs <= dueMs,
      );
      if (isInForce) continue;
      const what = `revision ${event.revision} in force within ${limitMs} ms`;
      violations.push(
        createViolation(`Process ${span.process} does not have ${what}.`, [event, ...list]),
      );
    }
  }
  return violations;
}

function createViolation(message: string, events: readonly HistoryEvent[]): Violation {
  return { promise: 8, message, events };
}
