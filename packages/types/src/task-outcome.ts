/** How the run of a task ended at its worker. */
export const TaskOutcome = {
  completed: 'completed',
  failed: 'failed',
  /** The worker certainly did not start it. */
  refused: 'refused',
  stopped: 'stopped',
  checkpointed: 'checkpointed',
  /** The lease was not renewed in time and the worker stopped the task. */
  lapsed: 'lapsed',
} as const;

export type TaskOutcome = (typeof TaskOutcome)[keyof typeof TaskOutcome];
