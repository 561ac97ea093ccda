import type { HistoryEvent } from '@acaciahoist/history-checker/history-event';

/** One broken promise, or one failure to recover, that a check of the soak found. */
export interface SoakFinding {
  check: string;
  message: string;
  /** The events that show it, if the history has them. */
  events: readonly HistoryEvent[];
}
