import fc from 'fast-check';
import { createJob } from './create-job.js';
import type { EmulatedCell } from './emulated-cell.js';
import { injectFault } from './inject-fault.js';
import type { ScheduleFault } from './schedule-fault.js';

/** A time in which some processes do not reach the worker, and in which the owner may change. */
interface Phase {
  /** Time after the former phase, in which all processes reach the worker. */
  gapMs: number;
  durationMs: number;
  /** Which processes do not reach the worker: the owner at the beginning of the phase, the others, or all. */
  unreachableFrom: 'all' | 'owner' | 'others';
  /** Fault after which the owner usually changes; its time counts from the beginning of the phase. */
  change: ScheduleFault | undefined;
}

interface Schedule {
  seed: number;
  phases: readonly Phase[];
  /** True if the worker is lost for good at the beginning of the last phase. */
  isLost: boolean;
}

/** Time in ms after the last fault: the longest wait for leases, and the work of the tasks. */
const SETTLE_MS = 90_000;

/** Random schedules in which one of three workers is unreachable or lost around changes of the owner. */
export const ownerChangeSchedule = {
  any: fc.record<Schedule>({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    phases: fc.array(
      fc.record<Phase>({
        gapMs: fc.integer({ min: 0, max: 7_000 }),
        durationMs: fc.integer({ min: 500, max: 20_000 }),
        unreachableFrom: fc.constantFrom('all', 'owner', 'others'),
        change: fc.option(
          fc.record<ScheduleFault>({
            atMs: fc.integer({ min: 0, max: 3_000 }),
            durationMs: fc.integer({ min: 500, max: 20_000 }),
            kind: fc.constantFrom(
              'kill-owner',
              'owner-paused',
              'owner-suspended',
              'store-unreachable-from-owner',
              'store-late',
            ),
            targetIndex: fc.constant(0),
          }),
          { nil: undefined },
        ),
      }),
      { minLength: 1, maxLength: 4 },
    ),
    isLost: fc.boolean(),
  }),

  /** Runs the schedule at a cell with three workers; returns the violations and the accepted jobs that did not end. */
  async run(cell: EmulatedCell, { phases, isLost }: Schedule): Promise<string[]> {
    for (let number = 1; number <= 6; number += 1) {
      const step = { count: 3, estimateMs: 10_000 * number, gang: number % 3 === 0 };
      void cell.submit(createJob(number, [step]), `p${number % cell.processes.length}`);
    }
    await cell.advance(1_500);
    for (const [index, phase] of phases.entries()) {
      await cell.advance(phase.gapMs);
      if (isLost && index === phases.length - 1) cell.workers.get('w0')?.crash();
      await runPhase(cell, phase);
    }
    await cell.advance(SETTLE_MS);
    const unfinished = cell.listUnfinishedJobs().map((id) => `job ${id} did not end`);
    return [...cell.listViolations(), ...unfinished];
  },
};

async function runPhase(cell: EmulatedCell, phase: Phase): Promise<void> {
  const { durationMs, unreachableFrom, change } = phase;
  const owner = cell.findOwnerName();
  cell.isDisconnected = (process, worker) =>
    worker === 'w0' &&
    (unreachableFrom === 'all' || (process === owner) === (unreachableFrom === 'owner'));
  const changeAtMs = Math.min(durationMs, change?.atMs ?? 0);
  await cell.advance(changeAtMs);
  const endFault = change === undefined ? undefined : injectFault(cell, change);
  await cell.advance(durationMs - changeAtMs);
  cell.isDisconnected = () => false;
  // The fault lasts at least as long as the phase.
  await cell.advance(Math.max(0, changeAtMs + (change?.durationMs ?? 0) - durationMs));
  await endFault?.();
}
