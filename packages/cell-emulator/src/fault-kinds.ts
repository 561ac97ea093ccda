/**
 * Kinds of faults in random schedules; `injectFault` implements them. A seed selects kinds by their position,
 * so reordering them would change all seeded schedules.
 */
export const faultKinds = [
  'kill-owner',
  'kill-all',
  'store-refuses',
  // The store loses all calls.
  'store-silent',
  'store-replies-lost',
  // Appends take effect seconds later; their callers get no reply.
  'store-late',
  // The store loses the calls of the owner only.
  'store-unreachable-from-owner',
  // The worker restarts under its id at the end of the fault.
  'worker-crash',
  // The worker never returns; a worker with another id starts at the end of the fault.
  'worker-replaced',
  // No process reaches the worker.
  'worker-unreachable',
  // A worker executes calls late, or its replies are lost.
  'worker-calls-late',
  'worker-replies-lost',
  // A client cancels an accepted job.
  'cancel',
  // Calls to the killed owner get no reply instead of a refused connection.
  'owner-powered-off',
  'data-centre-unreachable',
  // Calls between one process and the others are lost: in both directions, to it or from it.
  'peer-calls-lost',
  'peer-calls-lost-inward',
  'peer-calls-lost-outward',
  'peer-replies-lost',
  'peer-calls-late',
  'peer-calls-slow',
  // The monotonic clock of a paused process keeps running, that of a suspended one stops.
  'owner-paused',
  'owner-suspended',
  'process-paused',
  'owner-wall-clock-jumps',
] as const;
