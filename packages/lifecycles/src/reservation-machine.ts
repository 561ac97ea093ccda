import { createMachine } from 'xstate';

/** Lifecycle of a reservation of capacity for one task or gang. */
export const reservationMachine = createMachine({
  id: 'reservation',
  initial: 'draining',
  states: {
    /** At least one planned worker still runs other work. */
    draining: { on: { ready: 'ready', replan: 'draining', release: 'released' } },
    /** Every planned worker has enough free capacity. */
    ready: { on: { replan: 'draining', use: 'used', release: 'released' } },
    used: { type: 'final' },
    released: { type: 'final' },
  },
});
