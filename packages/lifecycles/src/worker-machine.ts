import { createMachine } from 'xstate';

/** Life cycle of a worker. Only `active` and, for a single task, `probing` accept new work. */
export const workerMachine = createMachine({
  id: 'worker',
  initial: 'active',
  states: {
    active: { on: { suspend: 'suspended', leave: 'leaving', eject: 'ejected', remove: 'removed' } },
    /** Unreachable; its tasks may still be running. */
    suspended: { on: { resume: 'active', leave: 'leaving', remove: 'removed' } },
    /** Excluded from new starts after failures of different jobs. */
    ejected: {
      on: {
        probe: 'probing',
        resume: 'active',
        suspend: 'suspended',
        leave: 'leaving',
        remove: 'removed',
      },
    },
    /** On probation: tried again with one task. */
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
