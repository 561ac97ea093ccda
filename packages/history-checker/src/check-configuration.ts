import type { Check } from './check.js';
import type { EventOf } from './event-of.js';
import { findConnectedSpans } from './find-connected-spans.js';
import { groupBy } from './group-by.js';
import type { HistoryEvent } from './history-event.js';
import { selectEvents } from './select-events.js';
import type { Violation } from './violation.js';

type InForceEvent = EventOf<'configuration-in-force'>;

/**
 * Promise 8: an accepted configuration is in force at every connected process within the limit, and no
 * process goes back to an older revision.
 */
export const checkConfiguration: Check = (events, { configurationMs }) => {
  const accepted = selectEvents(events, 'configuration-accepted');
  const inForceByProcess = groupBy(selectEvents(events, 'configuration-in-force'), formatProcessId);
  return [
    ...findConflictingTexts(accepted),
    ...[...inForceByProcess.values()].flatMap((inForceEvents) => [
      ...findReversals(inForceEvents),
      ...findUnacceptedTexts(inForceEvents, accepted),
    ]),
    ...findLateRevisions(events, accepted, inForceByProcess, configurationMs),
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
  const acceptedByRevision = groupBy(accepted, (event) => String(event.revision));
  return [...acceptedByRevision].flatMap(([revision, group]) => {
    const texts = new Set(group.map((event) => event.textDigest));
    if (texts.size < 2) return [];
    return [createViolation(`Revision ${revision} was accepted with different texts.`, group)];
  });
}

/** Finds processes that went back to an older revision. */
function findReversals(inForceEvents: readonly InForceEvent[]): Violation[] {
  return inForceEvents.flatMap((event, index) => {
    const previous = inForceEvents[index - 1];
    if (previous === undefined || previous.revision <= event.revision) return [];
    const change = `${previous.revision} to ${event.revision}`;
    return [
      createViolation(`Process ${event.process} went back from revision ${change}.`, [
        previous,
        event,
      ]),
    ];
  });
}

/** Finds texts in force at a process that were never accepted for their revision. */
function findUnacceptedTexts(
  inForceEvents: readonly InForceEvent[],
  accepted: readonly EventOf<'configuration-accepted'>[],
): Violation[] {
  return inForceEvents.flatMap((event) => {
    const isAccepted = accepted.some(
      ({ revision, textDigest }) => revision === event.revision && textDigest === event.textDigest,
    );
    if (isAccepted) return [];
    const unacceptedText = `a text for revision ${event.revision} that was not accepted`;
    return [createViolation(`Process ${event.process} uses ${unacceptedText}.`, [event])];
  });
}

/**
 * Finds accepted revisions that are not in force in time. The limit counts from the acceptance, or from
 * the start of the span if the process started or reached the platform again later.
 */
function findLateRevisions(
  events: readonly HistoryEvent[],
  accepted: readonly EventOf<'configuration-accepted'>[],
  inForceByProcess: ReadonlyMap<string, readonly InForceEvent[]>,
  limitMs: number,
): Violation[] {
  const violations: Violation[] = [];
  for (const span of findConnectedSpans(events)) {
    const inForceEvents = inForceByProcess.get(formatProcessId(span)) ?? [];
    for (const event of accepted) {
      const dueAtMs = Math.max(event.atMs, span.startMs) + limitMs;
      if (dueAtMs >= span.endMs) continue;
      const isInForce = inForceEvents.some(
        (configuration) =>
          configuration.revision >= event.revision && configuration.atMs <= dueAtMs,
      );
      if (isInForce) continue;
      const requirement = `revision ${event.revision} in force within ${limitMs} ms`;
      violations.push(
        createViolation(`Process ${span.process} does not have ${requirement}.`, [
          event,
          ...inForceEvents,
        ]),
      );
    }
  }
  return violations;
}

function createViolation(message: string, events: readonly HistoryEvent[]): Violation {
  return { promise: 8, message, events };
}
