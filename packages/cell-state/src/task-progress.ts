/** Progress of one task according to the log. */
export interface TaskProgress {
  /** `placed`: a run is recorded and has not ended. */
  phase: 'waiting' | 'placed' | 'done';
  /** Number of the newest run; 0 before the first. */
  run: number;
  /** Worker of the newest run; empty before the first. */
  worker: string;
  /**
   * Start of the worker's incarnation for which the newest run was decided, in Unix ms; 0 when not
   * known.
   */
  born: number;
  /** Number of failures that were counted for this task. */
  failures: number;
  /** Workers on which these failures happened; undefined before the first and in earlier versions. */
  failedWorkers?: string[] | undefined;
  /** Newest durable checkpoint; empty when there is none. */
  checkpoint: string;
  /** Number of the newest copy; absent before the first, and in snapshots of earlier versions. */
  copyRun?: number;
}
