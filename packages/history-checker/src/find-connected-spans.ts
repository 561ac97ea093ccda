import type { HistoryEvent } from './history-event.js';

/** A span of time in which an incarnation of a process runs and can reach the platform. */
interface Span {
  process: string;
  incarnation: string;
  startMs: number;
  endMs: number;
}

/** Finds the spans of all processes. Spans that are still open end at the last event. */
export function findConnectedSpans(events: readonly HistoryEvent[]): Span[] {
  const openSpans = new Map<string, Span>();
  const spans: Span[] = [];
  const lastEventAtMs = events.at(-1)?.atMs ?? 0;
  for (const event of events) {
    if (!('process' in event)) continue;
    const { process, incarnation, atMs } = event;
    const id = `${process} ${incarnation}`;
    if (event.type === 'process-started' || event.type === 'platform-restored') {
      openSpans.set(id, { process, incarnation, startMs: atMs, endMs: lastEventAtMs });
    } else if (event.type === 'process-ended' || event.type === 'platform-lost') {
      const span = openSpans.get(id);
      if (span !== undefined) spans.push({ ...span, endMs: atMs });
      openSpans.delete(id);
    }
  }
  return [...spans, ...openSpans.values()];
}
