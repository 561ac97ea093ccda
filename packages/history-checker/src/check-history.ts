import { checkConfiguration } from './check-configuration.js';
import { checkKeys } from './check-keys.js';
import { checkLeaving } from './check-leaving.js';
import { checkSingleWorker } from './check-single-worker.js';
import { checkRefusals } from './check-refusals.js';
import { checkReplies } from './check-replies.js';
import { checkRunnerCapacity } from './check-runner-capacity.js';
import { checkStops } from './check-stops.js';
import { checkWorkerCapacity } from './check-worker-capacity.js';
import type { Check } from './check.js';
import type { HistoryEvent } from './history-event.js';
import type { HistoryLimits } from './history-limits.js';
import type { Violation } from './violation.js';

const checks: readonly Check[] = [
  checkWorkerCapacity,
  checkRunnerCapacity,
  checkSingleWorker,
  checkReplies,
  checkRefusals,
  checkKeys,
  checkLeaving,
  checkStops,
  checkConfiguration,
];

/** Section 1 of docs/design.md promises 3 s for a leaving endpoint and 13 s for a configuration. */
const DEFAULT_LIMITS: HistoryLimits = { leavingMs: 3_000, configurationMs: 13_000 };

/**
 * Returns the violations of the promises in a recorded history. Sorts the events by time; events of the
 * same time keep their order. An empty result says nothing about work that was not recorded.
 */
export function checkHistory(
  events: readonly HistoryEvent[],
  limits: HistoryLimits = DEFAULT_LIMITS,
): Violation[] {
  const ordered = [...events].sort((first, second) => first.atMs - second.atMs);
  return checks.flatMap((check) => check(ordered, limits));
}
