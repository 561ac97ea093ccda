import type { Check } from './check.js';
import type { EventOf } from './event-of.js';
import { groupBy } from './group-by.js';
import type { HistoryEvent } from './history-event.js';
import { selectEvents } from './select-events.js';
import type { Violation } from './violation.js';

/** The time from the start to the end of a request at a process, or of its run at a runner. */
interface WorkInterval {
  began: EventOf<'request-asked'> | EventOf<'runner-began'>;
  endpoint: string;
  ended: HistoryEvent | undefined;
  endedAtMs: number;
  /**
   * Time from which the endpoint can have done its part. A response that was sent before the end of its process may
   * arrive after it.
   */
  doneAtMs: number;
  /** True if it ended without a whole answer or, at a runner, before the work was done. */
  isInterrupted: boolean;
}

/** Promise 7: a planned stop of an entry process or runner interrupts no request. */
export const checkStops: Check = (events) => {
  const violations: Violation[] = [];
  const openStops = new Map<string, EventOf<'stop-begun'>>();
  const runs = listRuns(events);
  const intervalsByEndpoint = groupBy(
    [...listRequests(events, runs), ...runs],
    (interval) => interval.endpoint,
  );
  for (const event of events) {
    if (event.type === 'stop-begun') openStops.set(event.endpoint, event);
    // A crash or a lost VM ends the planned stop: what it interrupts does not violate this promise.
    if (event.type === 'process-ended') openStops.delete(event.process);
    if (event.type === 'endpoint-lost') openStops.delete(event.endpoint);
    if (event.type !== 'stop-ended') continue;
    const stop = openStops.get(event.endpoint);
    openStops.delete(event.endpoint);
    if (stop === undefined) continue;
    for (const { began, ended, endedAtMs, doneAtMs, isInterrupted } of intervalsByEndpoint.get(
      event.endpoint,
    ) ?? []) {
      const overlapsStop = began.atMs <= event.atMs && endedAtMs >= stop.atMs;
      if (!overlapsStop || (doneAtMs <= event.atMs && !isInterrupted)) continue;
      const message = `The planned stop of ${event.endpoint} interrupted request ${began.requestId}.`;
      const evidence = ended === undefined ? [began, stop, event] : [began, ended, stop, event];
      violations.push({ promise: 7, message, events: evidence });
    }
  }
  return violations;
};

/** Lists the requests at the processes, without those whose caller closed the connection. */
function listRequests(
  events: readonly HistoryEvent[],
  runs: readonly WorkInterval[],
): WorkInterval[] {
  const runsByReply = groupBy(runs, ({ ended }) =>
    ended?.type === 'runner-ended' ? ended.replyDigest : null,
  );
  const answered = groupBy(selectEvents(events, 'request-answered'), (event) => event.requestId);
  const abandoned = new Set(
    selectEvents(events, 'request-abandoned').map((event) => event.requestId),
  );
  return selectEvents(events, 'request-asked').flatMap((began) => {
    if (abandoned.has(began.requestId)) return [];
    const end = answered.get(began.requestId)?.[0];
    const endedAtMs = end?.atMs ?? Number.POSITIVE_INFINITY;
    const interval = { began, ended: end, endpoint: began.process, endedAtMs };
    if (end === undefined) return [{ ...interval, doneAtMs: endedAtMs, isInterrupted: false }];
    const { answer } = end;
    if (answer.type === 'error')
      return [{ ...interval, doneAtMs: began.atMs, isInterrupted: false }];
    const isInterrupted = answer.type === 'closed' || !answer.isComplete;
    const replyRuns = answer.type === 'reply' ? (runsByReply.get(answer.bodyDigest) ?? []) : [];
    const doneAtMs = Math.min(
      endedAtMs,
      ...replyRuns.filter((run) => isRunOf(run, began)).map((run) => run.endedAtMs),
    );
    return [{ ...interval, doneAtMs, isInterrupted }];
  });
}

/** Whether the run is of the request, or of an earlier request with its key, whose reply is repeated. */
function isRunOf({ began: run }: WorkInterval, request: EventOf<'request-asked'>): boolean {
  return run.requestId === request.requestId || (run.key !== null && run.key === request.key);
}

/** Lists the runs of requests at runners. */
function listRuns(events: readonly HistoryEvent[]): WorkInterval[] {
  const endedRuns = groupBy(selectEvents(events, 'runner-ended'), (event) => event.requestId);
  return selectEvents(events, 'runner-began').map((began) => {
    const end = (endedRuns.get(began.requestId) ?? []).find(
      ({ runner, incarnation, atMs }) =>
        runner === began.runner && incarnation === began.incarnation && atMs >= began.atMs,
    );
    const endedAtMs = end?.atMs ?? Number.POSITIVE_INFINITY;
    const isInterrupted = end?.replyDigest === null;
    return {
      began,
      ended: end,
      endpoint: began.runner,
      endedAtMs,
      doneAtMs: endedAtMs,
      isInterrupted,
    };
  });
}
