import type { EmulatedCell } from '../emulated-cell.js';

/** Queries a job by its path at a running process, and returns the HTTP status of the response. */
export type JobRequest = (
  process: EmulatedCell['processes'][number],
  path: string,
) => Promise<number>;
