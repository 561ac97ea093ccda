/** Waiting times of one kind of work, ms. */
interface Waits {
  service: number;
  batch: number;
  gang: number;
  urgent: number;
  scheduled: number;
}

/** Results of one policy on the workload. */
export interface PolicyResult {
  /** Share of the capacity in use while work waited: mean of the shares of processors and memory. */
  packing: number;
  /** The same over the whole measured time. */
  utilization: number;
  waitP50Ms: Waits;
  waitP99Ms: Waits;
  waitMeanMs: Waits;
  /** Largest gap between a team's dominant share and its fair share while it waited, in percentage points. */
  fairnessGap: number;
  fairnessGapP99: number;
  gangsStarted: number;
  gangsSubmitted: number;
  tasksStarted: number;
  tasksCompleted: number;
  tasksWaitingAtEnd: number;
  checkpoints: number;
  throttles: number;
  stops: number;
  violations: number;
  violationExamples: readonly string[];
  decisionP50Ms: number;
  decisionP99Ms: number;
  decisionMaxMs: number;
  /** Time in the core per start: in decisions alone, and in all calls. */
  decideMsPerStart: number;
  coreMsPerStart: number;
  /** Largest number of tasks that ran at once. */
  runningTasks: number;
}
