import { setup } from 'xstate';

/** States of one process with respect to one partition. */
export const ownershipMachine = setup({
  types: {
    events: {} as {
      type:
        | 'follow'
        | 'claim'
        /** The stream shows that the claim of this process is valid. */
        | 'claimed'
        /** The claim failed or another one is valid. */
        | 'failed'
        /** The lease ended without a newer durable record. */
        | 'lapsed'
        /** A newer durable record makes the lease valid again. */
        | 'renewed'
        /** Another claim was read, the hold time ended, or the release is complete. */
        | 'stopped'
        | 'release'
        | 'close';
    },
  },
}).createMachine({
  id: 'ownership',
  initial: 'idle',
  on: { close: '.closed' },
  states: {
    idle: { on: { follow: 'following', claim: 'claiming' } },
    following: { on: { claim: 'claiming' } },
    claiming: { on: { claimed: 'leased', failed: 'following' } },
    leased: { on: { lapsed: 'holding', release: 'releasing', stopped: 'following' } },
    holding: { on: { renewed: 'leased', release: 'releasing', stopped: 'following' } },
    releasing: { on: { stopped: 'following' } },
    closed: { type: 'final' },
  },
});
