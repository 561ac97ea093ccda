/**
 * Kinds of faults in random schedules; `injectFault` implements them. A seed selects kinds by their position,
 * so that another order would change all seeded schedules.
 */
export const faultKinds = [
  'kill-owner',
  'kill-all',
  'store-refuses',
  // The store loses all calls.
  'store-silent',
  'store-answers-lost',
  // Appends take effect seconds later; their callers get no answer.
  'store-late',
  // The store loses the calls of the owner only.
  'store-away-from-owner',
  // The worker restarts under its id at the end of the fault.
  'worker-crash',
  // The worker never returns; a worker with another id starts at the end of the fault.
  'worker-gone',
  // No process reaches the worker.
  'worker-cut',
  // A worker executes calls late, or its answers are lost.
  'orders-late',
  'answers-lost',
  // A client cancels an accepted job.
  'cancel',
  // Calls to the killed owner get no answer instead of a refused connection.
  'owner-without-power',
  'data-centre-cut',
  // Calls between one process and the others are lost: in both directions, to it or from it.
  'peers-cut',
  'peers-cut-inward',
  'peers-cut-outward',
  'peer-answers-lost',
  'peer-calls-late',
  'peers-slow',
  // The monotonic clock of a paused process goes on, that of a suspended one stops.
  'owner-paused',
  'owner-suspended',
  'process-paused',
  'time-of-day-jumps',
] as const;
