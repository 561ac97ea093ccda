import { createMachine } from 'xstate';

/** States of a process with respect to the ownership of the cell. */
export const ownershipMachine = createMachine({
  id: 'cell-ownership',
  initial: 'following',
  states: {
    following: { on: { CLAIM: 'claiming', CLAIMED: 'owning', STOP: 'stopped' } },
    claiming: { on: { CLAIMED: 'owning', REJECTED: 'following', STOP: 'stopped' } },
    owning: { on: { FENCED: 'following', STOP: 'stopped' } },
    stopped: {},
  },
});
