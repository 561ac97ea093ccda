/** What an error says about the execution of the requested work. */
export const Execution = {
  /** It certainly did not run. */
  notRun: 'not-run',
  ran: 'ran',
  /** It may have run, may be running or may still run. */
  unknown: 'unknown',
} as const;

export type Execution = (typeof Execution)[keyof typeof Execution];
