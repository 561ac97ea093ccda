import type { Violation } from '@acaciahoist/history-checker/violation';

/** Result of one run under one fault. */
export interface RecoveryRun {
  fault: string;
  seed: number;
  completed: number;
  late: number;
  /** Accepted jobs without an outcome, and keys without a final answer. */
  lost: number;
  /** Work with a key that ran twice, and tasks that ran at two workers. */
  duplicated: number;
  oversold: number;
  unknown: number;
  refused: number;
  appendsPerSecond: number;
  answers: Readonly<Record<string, number>>;
  violations: readonly Violation[];
  /** Lost keys, and jobs that did not complete, with their results. */
  notes: readonly string[];
  /** Durations that the fault itself measured, by name, ms. */
  measured: Readonly<Record<string, number>>;
  /** Latest output of the processes; empty if nothing was lost, oversold or violated. */
  trace: string;
}
