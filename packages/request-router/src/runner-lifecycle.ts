import { createMachine } from 'xstate';
import { TransitionTable } from './transition-table.js';

type State = 'healthy' | 'ejected' | 'probing';
type Event = 'EJECT' | 'BACK_OFF_OVER' | 'REINSTATE';

const machine = createMachine({
  id: 'runner',
  initial: 'healthy',
  states: {
    healthy: { on: { EJECT: 'ejected' } },
    ejected: { on: { BACK_OFF_OVER: 'probing' } },
    /** Receives one request at a time. */
    probing: { on: { EJECT: 'ejected', REINSTATE: 'healthy' } },
  },
});

/** States and events of a runner's health, from the requests of one process. */
export const runnerLifecycle = TransitionTable.create<State, Event>(machine);
