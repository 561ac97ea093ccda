import { createMachine } from 'xstate';

/** State machine of a worker's reachability, seen from the owner. */
export const reachabilityMachine = createMachine({
  id: 'worker',
  initial: 'unfenced',
  states: {
    /** The worker has not answered a fence call of this owner and gets no starts. */
    unfenced: { on: { FENCED: 'ready', EXPIRED: 'unreachable' } },
    ready: { on: { SILENT: 'suspect' } },
    /** The worker does not answer. Renewals have stopped, so that its leases expire at a known time. */
    suspect: { on: { FENCED: 'ready', EXPIRED: 'unreachable' } },
    /** The leases of all its tasks have certainly expired. */
    unreachable: { on: { FENCED: 'ready' } },
  },
});
