import type { HistoryEvent } from './history-event.js';

/** A violation of one of the eight promises, which section 1 of docs/design.md lists by number. */
export interface Violation {
  promise: 1 | 2 | 3 | 4 | 5 | 6 | 7 | 8;
  message: string;
  /** The events that show the violation. */
  events: readonly HistoryEvent[];
}
