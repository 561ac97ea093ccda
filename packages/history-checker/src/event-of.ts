import type { HistoryEvent } from './history-event.js';

/** The events of one type. */
export type EventOf<Type extends HistoryEvent['type']> = Extract<HistoryEvent, { type: Type }>;
