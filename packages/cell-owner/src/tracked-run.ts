import type { Capacity } from '@acaciahoist/cell-planner/capacity';

/** State of a run that the owner keeps in addition to the cell state. */
export interface TrackedRun {
  task: string;
  run: number;
  worker: string;
  /** Incarnation of the worker for which the run was decided: its start as Unix ms; 0 when unknown. */
  born: number;
  demand: Capacity;
  /**
   * `sending`: the start call is outstanding. `running`: the worker has confirmed the run. `unknown`: the
   * start got no answer and may be executed late. `inherited`: recorded by a predecessor and not yet listed
   * by the worker.
   */
  phase: 'sending' | 'running' | 'unknown' | 'inherited';
  /** Monotonic time at which the start was recorded, or at which this process became owner. */
  trackedSinceMs: number;
  /**
   * Monotonic time at which the start call ended: the answer to a hold call sent later shows whether the
   * run exists.
   */
  startSettledMs: number;
  estimateMs: number;
  /** Completed share of the work in percent, as the worker last listed it. */
  percent: number;
  /**
   * Monotonic time of the newest progress; the stall time counts from it, and restarts after a gap between
   * answers and while the run is paced.
   */
  lastProgressAtMs: number;
  /** Newest checkpoint; empty for none. */
  checkpoint: string;
  /** Newest load that the worker listed: tail latency in ms of a serving task, else used millicores. */
  load: number;
  /** Share of its work in percent that the newest pace call allows; undefined when it is unknown. */
  pacedPercent: number | undefined;
  /** Monotonic time of the newest pace call. */
  pacedMs: number;
  /** True once the speed was recorded for the worker, or from the start if it can't be compared. */
  isSpeedRecorded: boolean;
  /** Monotonic time of the newest stop order; 0 for none. */
  stopSentMs: number;
  /** Monotonic time at which the worker confirmed a stop; 0 for none. */
  stopConfirmedMs: number;
}
