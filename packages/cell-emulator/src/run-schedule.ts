import type { EmulatedCell } from './emulated-cell.js';
import { createJob } from './create-job.js';
import type { ScheduleFault } from './schedule-fault.js';
import { injectFault } from './inject-fault.js';

/** Time in ms after the last fault: covers a takeover, the longest lease and late calls. */
const SETTLE_MS = 40_000;
/** Maximum pause in ms: after it and SETTLE_MS, the cell must still retain the outcomes of the first jobs. */
const MAX_PAUSE_MS = 30_000;
/** Number of jobs that a schedule submits. */
const JOB_COUNT = 24;
/** Time in ms between two submissions. */
const SUBMIT_INTERVAL_MS = 450;
/** Interval in ms at which the pending counts are checked. */
const COUNT_CHECK_INTERVAL_MS = 200;

/**
 * Submits `JOB_COUNT` jobs of these teams in turn to a started cell while the faults are injected, and lets the cell
 * settle. The returned
 * `problems` list the violations and the accepted jobs that did not end.
 */
export async function runSchedule(
  cell: EmulatedCell,
  faults: readonly ScheduleFault[],
  teams: readonly string[] = [],
): Promise<{ cell: EmulatedCell; problems: string[] }> {
  const actions: { atMs: number; run: () => void }[] = [];
  for (let number = 1; number <= JOB_COUNT; number += 1) {
    const isGang = number % 3 === 0;
    const job = createJob(
      number,
      [
        {
          count: 1 + cell.random.integer(0, 4 - 1),
          estimateMs: 200 + cell.random.integer(0, 3_000 - 1),
          gang: isGang,
        },
        ...(number % 2 === 0 ? [{ count: 2, after: [0], millicores: 3_000 }] : []),
      ],
      { advised: number % 4 === 0, payload: number % 5 === 0 ? 'flaky' : 'plain' },
    );
    const team = teams[number % teams.length];
    const processName = `p${number % cell.processes.length}`;
    actions.push({
      atMs: number * SUBMIT_INTERVAL_MS,
      run: () => void cell.submit(team === undefined ? job : { ...job, team }, processName),
    });
  }
  const faultEnds: { atMs: number; endFault: ReturnType<typeof injectFault> }[] = [];
  for (const fault of faults)
    actions.push({
      atMs: fault.atMs,
      run: () => {
        faultEnds.push({
          atMs: cell.clock.monotonicMs() + computeFaultDurationMs(fault),
          endFault: injectFault(cell, fault),
        });
      },
    });
  const scheduleStartMs = cell.clock.monotonicMs();
  actions.sort((left, right) => left.atMs - right.atMs);
  while (actions.length > 0 || faultEnds.length > 0) {
    const nowMs = cell.clock.monotonicMs();
    while (actions[0] !== undefined && actions[0].atMs + scheduleStartMs <= nowMs)
      actions.shift()?.run();
    const dueFaultEnds = faultEnds.filter((faultEnd) => faultEnd.atMs <= nowMs);
    for (const faultEnd of dueFaultEnds) {
      faultEnds.splice(faultEnds.indexOf(faultEnd), 1);
      await faultEnd.endFault();
    }
    await cell.advance(20);
    if (cell.clock.monotonicMs() % COUNT_CHECK_INTERVAL_MS === 0) cell.checkPendingCounts();
  }
  await cell.advance(SETTLE_MS);
  const unfinished = cell.listUnfinishedJobs().map((id) => `job ${id} did not end`);
  return { cell, problems: [...cell.listViolations(), ...unfinished] };
}

/** Computes the duration of a fault in ms; a pause of a process may last longer than other faults. */
function computeFaultDurationMs({ kind, durationMs, targetIndex }: ScheduleFault): number {
  const isPause =
    kind === 'owner-paused' || kind === 'owner-suspended' || kind === 'process-paused';
  return isPause ? Math.min(MAX_PAUSE_MS, durationMs * (1 + targetIndex)) : durationMs;
}
