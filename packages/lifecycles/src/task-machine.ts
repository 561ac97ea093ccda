import { createMachine } from 'xstate';

/**
 * Life cycle of a task. `starting` includes starts whose outcome is unknown: the task may be running, so
 * its capacity is released only by a report that the run has ended (`retry` or `end`).
 */
export const taskMachine = createMachine({
  id: 'task',
  initial: 'waiting',
  states: {
    waiting: { on: { arm: 'armed', start: 'starting', end: 'over' } },
    armed: { on: { disarm: 'waiting', start: 'starting', end: 'over' } },
    starting: {
      on: {
        confirm: 'running',
        checkpoint: 'checkpointing',
        stop: 'stopping',
        retry: 'waiting',
        end: 'over',
      },
    },
    running: {
      on: {
        confirm: 'running',
        checkpoint: 'checkpointing',
        stop: 'stopping',
        retry: 'waiting',
        end: 'over',
      },
    },
    checkpointing: { on: { stop: 'stopping', retry: 'waiting', end: 'over' } },
    stopping: { on: { retry: 'waiting', end: 'over' } },
    over: { type: 'final' },
  },
});
