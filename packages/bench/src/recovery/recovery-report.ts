import type { RecoveryRun } from './recovery-run.js';

/** Figures of all runs of the recovery bench. */
export interface RecoveryReport {
  seed: number;
  /** From the kill of the owner until a successor completed a request with a key; one figure per run. */
  takeOverMs: { runs: readonly number[]; max: number };
  /** Longest time from the acceptance of a publication until it was in force at every process. */
  configurationSpreadMs: number;
  /** Longest time from the listing of a runner as leaving until its last new request. */
  leavingStopMs: number;
  /** Lag of the VM list, which `leavingStopMs` does not include. */
  listLagMs: number;
  /** Highest of all runs. */
  appendsPerSecond: number;
  completed: number;
  late: number;
  lost: number;
  duplicated: number;
  oversold: number;
  unknown: number;
  refused: number;
  violations: readonly { fault: string; promise: number; message: string }[];
  /** Faults whose run itself failed. */
  failed: readonly { fault: string; reason: string }[];
  /** All runs, without their violations and output. */
  runs: readonly RecoveryRun[];
}
