import type { SoakFinding } from './soak-finding.js';

/** Figures of the rounds of a soak that ended. */
export interface SoakFigures {
  rounds: number;
  /** Process starts, the first ones included. */
  starts: number;
  /** Number of answers to callers by type or, for errors, by kind. */
  answers: Readonly<Record<string, number>>;
  keys: number;
  jobs: number;
  /** Keys and accepted jobs without a final answer or outcome. */
  lost: number;
  /** Work with a key that ran twice, and tasks that ran at two workers. */
  duplicated: number;
  oversold: number;
  /** Keys and jobs whose caller was told that the outcome is unknown. */
  unknown: number;
  /** Longest time from the end of the faults of a round until all processes were ready and all partitions owned. */
  recoveryMs: number;
  findings: readonly SoakFinding[];
  /** Latest output of the processes; empty without a finding. */
  trace: string;
}
