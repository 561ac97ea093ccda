import type { HistoryEvent } from './history-event.js';
import type { HistoryLimits } from './history-limits.js';
import type { Violation } from './violation.js';

/** A check of one promise. It gets the events in order of time and returns the violations. */
export type Check = (events: readonly HistoryEvent[], limits: HistoryLimits) => Violation[];
