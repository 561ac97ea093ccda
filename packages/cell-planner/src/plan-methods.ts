import type { Capacity } from './capacity.js';
import type { PlannedRun } from './planned-run.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { Reservation } from './reservation.js';
import type { TeamShares } from './team-shares.js';
import type { WorkerIndex } from './worker-index.js';

/** Parts of a planning round that benchmarks and tests replace. */
export interface PlanMethods {
  /** Sorts the steps by urgency. */
  order: (steps: readonly ReadyStep[], nowMs: number, shares: TeamShares) => readonly ReadyStep[];
  /** Finds the earliest time at which a gang fits on the workers. */
  reserveGang: (
    step: ReadyStep,
    demand: Capacity,
    workers: readonly PlannedWorker[],
    listRuns: (worker: PlannedWorker) => readonly PlannedRun[],
  ) => Reservation | undefined;
  /** Chooses the workers that an advice request names. */
  chooseNamedWorkers: (
    step: ReadyStep,
    demand: Capacity,
    workerIndex: WorkerIndex,
  ) => readonly string[];
}
