import type { RunEnd } from './run-end.js';

/** A run that a worker lists as ended until the end is acknowledged. */
export interface EndedRun {
  /** Number of the end in this life of the worker, from 1. */
  number: number;
  task: string;
  run: number;
  how: RunEnd;
  /** Checkpoint from which the task can resume; empty for none. */
  checkpoint: string;
}
