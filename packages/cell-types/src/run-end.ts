/** How a run of a task ended, as its worker reports it; `lost` when no report will come. */
export const RunEnd = {
  done: 'done',
  failed: 'failed',
  /** The owner ordered the worker to stop it. */
  stopped: 'stopped',
  /** The lease of the worker expired. */
  lapsed: 'lapsed',
  /** Another member of the gang ended. */
  broken: 'broken',
  /** The other members of the gang did not join in time. */
  alone: 'alone',
  /**
   * The run is over without a report: the worker's incarnation ended, or the start was never
   * executed.
   */
  lost: 'lost',
} as const;

export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];
