/** What to do now. */
export interface Plan {
  /** Starts; those of a gang are all present or all absent. */
  starts: readonly { key: string; index: number; worker: string }[];
  /** Steps to ask advice for, the most urgent first, with the workers to name. */
  asks: readonly { key: string; workers: readonly string[] }[];
  /** Gangs for which room is kept free, with the expected time in ms until they fit. */
  reservations: readonly { key: string; fitsInMs: number }[];
}
