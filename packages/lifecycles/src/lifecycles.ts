import type { JobState } from '@acaciahoist/types/job-state';
import { compileTable } from './compile-table.js';
import { jobMachine } from './job-machine.js';
import { reservationMachine } from './reservation-machine.js';
import { taskMachine } from './task-machine.js';
import type { TaskState } from './task-state.js';
import { workerMachine } from './worker-machine.js';
import type { WorkerState } from './worker-state.js';

/** Transition tables of all lifecycles, compiled from the xstate machines when the module is loaded. */
export const lifecycles = {
  job: compileTable<JobState, 'arm' | 'disarm' | 'run' | 'requeue' | 'stop' | 'end'>(jobMachine),
  task: compileTable<
    TaskState,
    'arm' | 'disarm' | 'start' | 'confirm' | 'checkpoint' | 'stop' | 'retry' | 'end'
  >(taskMachine),
  worker: compileTable<WorkerState, 'suspend' | 'resume' | 'leave' | 'eject' | 'probe' | 'remove'>(
    workerMachine,
  ),
  reservation: compileTable<
    'draining' | 'ready' | 'used' | 'released',
    'ready' | 'replan' | 'use' | 'release'
  >(reservationMachine),
};
