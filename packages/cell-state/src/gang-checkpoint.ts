import type { StepProgress } from './step-progress.js';

/**
 * Checkpoint of a gang: all members of one run resume from the same one, the newest that any member has left
 * before the first start of the run.
 */
export const gangCheckpoint = {
  /** Returns the checkpoint from which the members of the run resume; empty for none. */
  find({ gangStart, tasks }: StepProgress, run: number): string {
    if (gangStart?.run === run) return gangStart.checkpoint;
    // The members differ only in the state of an earlier version, which does not say which one is the newest.
    return tasks.find(({ checkpoint }) => checkpoint !== '')?.checkpoint ?? '';
  },

  /** Records the start of a member. */
  recordStart(stepProgress: StepProgress, run: number): void {
    if (stepProgress.gangStart?.run === run) return;
    stepProgress.gangStart = { run, checkpoint: gangCheckpoint.find(stepProgress, run) };
  },

  /** Records the checkpoint with which the run of a member has ended, for all members. */
  recordEnd(stepProgress: StepProgress, run: number, saved: string): void {
    // A member that made no checkpoint of its own ends with the one from which the run has resumed.
    if (saved === '' || saved === gangCheckpoint.find(stepProgress, run)) return;
    for (const member of stepProgress.tasks) member.checkpoint = saved;
  },
} as const;
