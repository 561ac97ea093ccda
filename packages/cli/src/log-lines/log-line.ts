/** One line of a process's log: an event and its fields. */
export interface LogLine {
  /**
   * Time in ms that the collector of the logs put in front of the line, on one clock for all processes.
   * Absent if the line has none.
   */
  collectedMs: number | undefined;
  /** Time of day in ms at the machine of the process. Absent if the line has no `time`. */
  wallMs: number | undefined;
  /** The time as the line shows it: the one in front if there is one. */
  timeText: string;
  /** Name of the process, or of the machine in front of the line if the line names no process. */
  process: string;
  event: string;
  /** All other fields in the order of the line, without `time` and `process`. */
  fields: ReadonlyMap<string, string>;
}
