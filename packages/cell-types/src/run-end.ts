/** How a run of a task ended, as its worker reports it. */
export const RunEnd = {
  done: 'done',
  failed: 'failed',
  /** Stopped on an order of the system. */
  stopped: 'stopped',
  /** The lease of the worker expired. */
  lapsed: 'lapsed',
  /** Another member of the gang ended. */
  broken: 'broken',
  /** The other members of the gang did not arrive in time. */
  alone: 'alone',
  /** The run is over without a report: the worker's life ended, or the start was never carried out. */
  lost: 'lost',
} as const;

export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];
