import { createMachine } from 'xstate';

/** Lifecycle of a job. The states are those of `JobState` in the package `types`. */
export const jobMachine = createMachine({
  id: 'job',
  initial: 'waiting',
  states: {
    waiting: { on: { arm: 'armed', run: 'running', stop: 'stopping', end: 'ended' } },
    armed: { on: { disarm: 'waiting', run: 'running', stop: 'stopping', end: 'ended' } },
    running: { on: { requeue: 'waiting', stop: 'stopping', end: 'ended' } },
    stopping: { on: { end: 'ended' } },
    ended: { type: 'final' },
  },
});
