import { createMachine } from 'xstate';

/** Lifecycle of a worker. Only `active` and, for a single task, `probing` accept new work. */
export const workerMachine = createMachine({
  id: 'worker',
  initial: 'active',
  states: {
    active: { on: { suspend: 'suspended', leave: 'leaving', eject: 'ejected', remove: 'removed' } },
    /** The worker does not answer; its tasks may still be running. */
    suspended: { on: { resume: 'active', leave: 'leaving', remove: 'removed' } },
    /** The worker gets no new starts, because different jobs have failed on it. */
    ejected: {
      on: {
        probe: 'probing',
        resume: 'active',
        suspend: 'suspended',
        leave: 'leaving',
        remove: 'removed',
      },
    },
    /** On probation after an ejection: the worker accepts one task at a time. */
    probing: {
      on: {
        resume: 'active',
        eject: 'ejected',
        suspend: 'suspended',
        leave: 'leaving',
        remove: 'removed',
      },
    },
    /** The worker is draining and will be removed. */
    leaving: { on: { resume: 'active', remove: 'removed' } },
    removed: { type: 'final' },
  },
});
