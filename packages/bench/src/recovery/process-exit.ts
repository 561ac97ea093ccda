/** How a process ended: its exit code or the signal that ended it; both are null if it did not start. */
export interface ProcessExit {
  code: number | null;
  signal: string | null;
}
