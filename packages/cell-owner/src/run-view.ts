import type { Room } from '@acaciahoist/cell-planner/room';

/** What the owner knows of a run beyond the log. */
export interface RunView {
  task: string;
  run: number;
  worker: string;
  /** Start of the worker's life for which the run was meant, as Unix ms; 0 when not known. */
  born: number;
  size: Room;
  /**
   * `sending`: the start is on its way. `running`: the worker has confirmed it. `unknown`: the start got
   * no answer, and may be carried out late. `inherited`: recorded by a former owner, not yet looked for.
   */
  phase: 'sending' | 'running' | 'unknown' | 'inherited';
  /** Monotonic time of the decision, or of the take-over. */
  sinceMs: number;
  /** Monotonic time from which a hold call tells whether the run is there. */
  settledMs: number;
  estimateMs: number;
  percent: number;
  percentAtMs: number;
  checkpoint: string;
  /** Newest figure of the worker: tail in ms of a serving task, millicores in use of any other. */
  load: number;
  /** Share of its work in percent that the run was told to do; undefined while that is not known. */
  pacedPercent: number | undefined;
  /** Monotonic time of the newest pace order. */
  pacedMs: number;
  /** The speed of the run was already counted for its worker. */
  isMeasured: boolean;
  /** Monotonic time of the newest stop order; 0 for none. */
  stopSentMs: number;
  /** Monotonic time at which the worker confirmed a stop; 0 for none. */
  stopConfirmedMs: number;
}
