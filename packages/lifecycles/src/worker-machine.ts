import { createMachine } from 'xstate';

/** Lifecycle of a worker. Only `active` and, for a single task, `probing` accept new work. */
export const workerMachine = createMachine({
  id: 'worker',
  initial: 'active',
  states: {
    active: { on: { suspend: 'suspended', leave: 'leaving', eject: 'ejected', remove: 'removed' } },
    /** It does not answer; its tasks may still be running. */
    suspended: { on: { resume: 'active', leave: 'leaving', remove: 'removed' } },
    /** Gets no new starts after failures of different jobs. */
    ejected: {
      on: {
        probe: 'probing',
        resume: 'active',
        suspend: 'suspended',
        leave: 'leaving',
        remove: 'removed',
      },
    },
    /** Probed after an ejection: accepts one task. */
    probing: {
      on: {
        resume: 'active',
        eject: 'ejected',
        suspend: 'suspended',
        leave: 'leaving',
        remove: 'removed',
      },
    },
    /** Draining: it will be removed. */
    leaving: { on: { resume: 'active', remove: 'removed' } },
    removed: { type: 'final' },
  },
});
