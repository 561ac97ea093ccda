import { createMachine } from 'xstate';

/** State machine of the connection that a `PeerLink` maintains to one peer. */
export const connectionMachine = createMachine({
  id: 'connection',
  initial: 'idle',
  states: {
    idle: { on: { OPEN: 'connecting' } },
    connecting: { on: { OPENED: 'open', FAILED: 'idle' } },
    open: { on: { PROBE_FAILED: 'replacing', CLOSED: 'idle' } },
    /** The old connection stays in use until the replacement is open. */
    replacing: {
      on: { REPLACED: 'open', PROBE_ANSWERED: 'open', FAILED: 'idle', CLOSED: 'connecting' },
    },
  },
});
