import type { Execution } from './execution.js';

/** How an error of one kind is reported to the caller. */
export interface Answer {
  httpStatus: number;
  /** Whether the requested work was carried out. */
  execution: Execution;
  /** True when the caller may send the same request again at once or later. */
  repeatable: boolean;
  /** Exit code of the command-line program. */
  exitCode: number;
}
