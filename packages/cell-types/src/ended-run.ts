import type { RunEnd } from './run-end.js';

/** An ended run. Its worker lists it until the run end is acknowledged. */
export interface EndedRun {
  /** Number of this run end within the incarnation of the worker, counted from 1. */
  number: number;
  task: string;
  run: number;
  how: RunEnd;
  /** Checkpoint from which the task can resume; empty for none. */
  checkpoint: string;
}
