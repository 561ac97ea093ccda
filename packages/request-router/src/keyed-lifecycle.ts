import { createMachine } from 'xstate';
import { TransitionTable } from './transition-table.js';

type State = 'claiming' | 'claimed' | 'sent' | 'recording' | 'recorded' | 'unsettled' | 'unclaimed';
type Event =
  | 'CLAIMED'
  | 'CLAIM_REFUSED'
  | 'CLAIM_UNKNOWN'
  | 'SEND'
  | 'NOT_SENT'
  | 'END'
  | 'RECORDED'
  | 'RECORD_FAILED';

const machine = createMachine({
  id: 'keyed-request',
  initial: 'claiming',
  states: {
    claiming: {
      on: { CLAIMED: 'claimed', CLAIM_REFUSED: 'unclaimed', CLAIM_UNKNOWN: 'unsettled' },
    },
    claimed: { on: { SEND: 'sent', END: 'recording' } },
    /** SEND is not accepted here: once a byte may have been sent, there is no second attempt. */
    sent: { on: { NOT_SENT: 'claimed', END: 'recording' } },
    recording: { on: { RECORDED: 'recorded', RECORD_FAILED: 'unsettled' } },
    recorded: { type: 'final' },
    /** The claim or the outcome may be missing from the journal. */
    unsettled: { type: 'final' },
    /** The claim was certainly not appended. */
    unclaimed: { type: 'final' },
  },
});

/** States and events of a request with an idempotency key. */
export const keyedLifecycle = TransitionTable.create<State, Event>(machine);
