import { createMachine } from 'xstate';
import { TransitionTable } from './transition-table.js';

type State = 'waiting' | 'sent' | 'ended';
type Event = 'SEND' | 'RETRY' | 'END';

const machine = createMachine({
  id: 'request',
  initial: 'waiting',
  states: {
    /** Waits for a slot. */
    waiting: { on: { SEND: 'sent', RETRY: 'waiting', END: 'ended' } },
    sent: { on: { RETRY: 'waiting', END: 'ended' } },
    ended: { type: 'final' },
  },
});

/** States and events of a request that may run more than once. */
export const requestLifecycle = TransitionTable.create<State, Event>(machine);
