import { createMachine } from 'xstate';

/**
 * Lifecycle of a task. `starting` includes starts of unknown result: the task may be running, so
 * its capacity is released only by a report that the run has ended (`retry` or `end`).
 */
export const taskMachine = createMachine({
  id: 'task',
  initial: 'waiting',
  states: {
    waiting: { on: { arm: 'armed', start: 'starting', end: 'ended' } },
    armed: { on: { disarm: 'waiting', start: 'starting', end: 'ended' } },
    starting: {
      on: {
        confirm: 'running',
        checkpoint: 'checkpointing',
        stop: 'stopping',
        retry: 'waiting',
        end: 'ended',
      },
    },
    running: {
      on: {
        confirm: 'running',
        checkpoint: 'checkpointing',
        stop: 'stopping',
        retry: 'waiting',
        end: 'ended',
      },
    },
    checkpointing: { on: { stop: 'stopping', retry: 'waiting', end: 'ended' } },
    stopping: { on: { retry: 'waiting', end: 'ended' } },
    ended: { type: 'final' },
  },
});
