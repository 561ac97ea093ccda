import type { CellJob } from '@acaciahoist/cell-types';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { taskName } from '@acaciahoist/cell-state/task-name';
import type { HistoryEvent } from './history-event.js';
import { longRunningStartupMs } from './long-running-startup-ms.js';

interface Options {
  history: readonly HistoryEvent[];
  /** All submitted jobs by their id. */
  jobs: ReadonlyMap<string, CellJob>;
  /** Time at which a client first requested to cancel a job, by job id. */
  cancelRequestedAtMs: ReadonlyMap<string, number>;
}

/** Time in ms from which a task that is not at work counts as away, for whatever cause. */
const AWAY_MS = 4_500;

/** Whether a task is at work, and since when it is in this state. */
interface Availability {
  /** Time from which the task is at work; infinite while it has no run. */
  atWorkFromMs: number;
  /** Time of its last end; 0 before the first start. */
  endedAtMs: number;
  wasStopped: boolean;
}

/**
 * Checks that the cell stops a long-running task at work only while fewer than `maxUnavailable` others of its step are
 * away: stopped, or not at work for `AWAY_MS`. Stops after the cancel of the job are allowed. Returns a description
 * of each violation.
 */
export function findExcessStops({ history, jobs, cancelRequestedAtMs }: Options): string[] {
  const violations: string[] = [];
  const tasks = new Map<string, Availability>();
  const initial: Availability = {
    atWorkFromMs: Number.POSITIVE_INFINITY,
    endedAtMs: 0,
    wasStopped: false,
  };
  for (const { kind, task, run, atMs, how } of history) {
    const ref = taskName.parse(task);
    const step = ref && jobs.get(ref.job)?.steps[ref.step];
    if (ref === undefined || step?.longRunning !== true || kind === 'acknowledged') continue;
    const state = tasks.get(task) ?? initial;
    if (kind === 'started') {
      tasks.set(task, { ...state, atWorkFromMs: atMs + longRunningStartupMs });
      continue;
    }
    const isCancelled = atMs >= (cancelRequestedAtMs.get(ref.job) ?? Number.POSITIVE_INFINITY);
    if (how === RunEnd.stopped && state.atWorkFromMs <= atMs && !isCancelled) {
      const others = Array.from({ length: step.count }, (_, index) =>
        taskName.format({ ...ref, index }),
      ).filter((name) => name !== task);
      const away = others.filter((name) => isAway(tasks.get(name) ?? initial, atMs));
      if (step.maxUnavailable > 0 && away.length >= step.maxUnavailable)
        violations.push(
          `${task} run ${run} is stopped at ${atMs} ms while ${away.length} others are away`,
        );
    }
    tasks.set(task, {
      atWorkFromMs: Number.POSITIVE_INFINITY,
      endedAtMs: atMs,
      wasStopped: how === RunEnd.stopped,
    });
  }
  return violations;
}

function isAway({ atWorkFromMs, endedAtMs, wasStopped }: Availability, nowMs: number): boolean {
  if (atWorkFromMs <= nowMs) return false;
  return wasStopped || nowMs - endedAtMs >= AWAY_MS;
}
