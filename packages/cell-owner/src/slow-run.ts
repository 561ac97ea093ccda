/** What is known of a run that may be slow. Times are in ms. */
export interface SlowRun {
  elapsedMs: number;
  /** Time until the run ends, by its progress. */
  remainingMs: number;
  /** Usual duration of runs like this one on a worker of speed 1. */
  typicalMs: number;
  /** Learned speed of the worker; undefined while it is unknown. */
  speed: number | undefined;
  /** Whether runs of the image take several times the usual duration now and then. */
  hasTails: boolean;
  /** Time until the job has lost its value, less the expected time from the end of the run to that of the job. */
  valueEndsInMs: number;
}
