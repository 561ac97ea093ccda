import type { LogLine } from '../../log-lines/log-line.js';

/** What the logs say of one id. */
export interface Explanation {
  id: string;
  /** Lines of the id in order of time. */
  lines: readonly LogLine[];
  /** Older lines of the id that are not in `lines`. */
  leftOutLines: number;
  deciding: LogLine;
  /** End of the run after which the job ended as failed. */
  lastRunEnd: LogLine | undefined;
  /** Time of the cell in ms between the end of the job and an answer that the job is unknown. */
  cellTimeSinceEndMs: number | undefined;
  /** Start of the owner at the time of the decision. Absent if the logs have none. */
  ownerStart: LogLine | undefined;
  /** What the deciding process and the owner learned around the time of the decision. */
  beliefs: readonly LogLine[];
  /** Lines near the decision that are not in `beliefs`. */
  leftOutBeliefs: number;
  unreadableLines: number;
}
