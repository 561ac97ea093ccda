import type { EventOf } from './event-of.js';
import type { HistoryEvent } from './history-event.js';

/** Returns the events of one type in their order. */
export function selectEvents<Type extends HistoryEvent['type']>(
  events: readonly HistoryEvent[],
  type: Type,
): EventOf<Type>[] {
  return events.filter((event): event is EventOf<Type> => event.type === type);
}
