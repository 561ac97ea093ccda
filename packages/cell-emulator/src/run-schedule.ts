import type { EmulatedCell } from './index.js';
import { makeJob } from './make-job.js';
import type { ScheduleFault } from './schedule-fault.js';
import { injectFault } from './inject-fault.js';

/** Room for the take-over, the longest lease and late orders after the last fault. */
const SETTLE_MS = 40_000;
/** Longest standstill in ms. With SETTLE_MS after it, the first jobs are still remembered at the end. */
const MAX_PAUSE_MS = 30_000;
/** Interval in ms at which the counts of waiting jobs are checked. */
const COUNT_CHECK_INTERVAL_MS = 200;

/** Runs a load of jobs with faults; returns what was broken. */
export async function runSchedule(
  cell: EmulatedCell,
  faults: readonly ScheduleFault[],
): Promise<{ cell: EmulatedCell; broken: string[] }> {
  const actions: { atMs: number; run: () => void }[] = [];
  for (let number = 1; number <= 24; number += 1) {
    const isGang = number % 3 === 0;
    const job = makeJob(
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
    const at = `p${number % cell.processes.length}`;
    actions.push({ atMs: number * 450, run: () => void cell.submit(job, at) });
  }
  const heals: { atMs: number; run: ReturnType<typeof injectFault> }[] = [];
  for (const entry of faults)
    actions.push({
      atMs: entry.atMs,
      run: () => {
        heals.push({
          atMs: cell.clock.monotonicMs() + computeFaultDurationMs(entry),
          run: injectFault(cell, entry),
        });
      },
    });
  const startMs = cell.clock.monotonicMs();
  actions.sort((left, right) => left.atMs - right.atMs);
  while (actions.length > 0 || heals.length > 0) {
    const nowMs = cell.clock.monotonicMs();
    while (actions[0] !== undefined && actions[0].atMs + startMs <= nowMs) actions.shift()?.run();
    const due = heals.filter((heal) => heal.atMs <= nowMs);
    for (const heal of due) {
      heals.splice(heals.indexOf(heal), 1);
      await heal.run();
    }
    await cell.advance(20);
    if (cell.clock.monotonicMs() % COUNT_CHECK_INTERVAL_MS === 0) cell.checkPendingCounts();
  }
  await cell.advance(SETTLE_MS);
  const unfinished = cell.listUnfinishedJobs().map((id) => `job ${id} did not end`);
  return { cell, broken: [...cell.listViolations(), ...unfinished] };
}

/** A process may stand still for longer than other faults last. */
function computeFaultDurationMs({
  kind,
  durationMs: forMs,
  targetIndex: pick,
}: ScheduleFault): number {
  const isPause =
    kind === 'owner-paused' || kind === 'owner-suspended' || kind === 'process-paused';
  return isPause ? Math.min(MAX_PAUSE_MS, forMs * (1 + pick)) : forMs;
}
