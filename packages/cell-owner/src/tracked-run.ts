import type { Capacity } from '@acaciahoist/cell-planner/capacity';
import type { TaskKind } from '@acaciahoist/cell-planner/task-kind';

/** State of a run that the owner keeps in addition to the cell state. */
export interface TrackedRun {
  task: string;
  run: number;
  worker: string;
  /** True for a second run: the copy beside the current run, or the current run after its copy was done. */
  isCopy: boolean;
  /** Incarnation of the worker for which the run was decided: its start as Unix ms; 0 when unknown. */
  born: number;
  demand: Capacity;
  /** Team to which the run is charged; undefined for none. */
  team: string | undefined;
  /** What the run counts against the quota of its team. */
  charge: Capacity;
  kind: TaskKind;
  /** Empty when it is not known. */
  image: string;
  /** Images on the worker when the start was recorded. */
  imagesAtStart: ReadonlySet<string>;
  /** True for a run of a speculative step whose duration depends on its worker and its task only. */
  mayHaveCopy: boolean;
  /** True for a run that does not end by itself. */
  isLongRunning: boolean;
  /**
   * `sending`: the start call is outstanding. `running`: the worker has confirmed the run. `unknown`: the
   * start got no reply and may still be executed. `inherited`: a predecessor recorded the run and the worker
   * has not yet listed it.
   */
  phase: 'sending' | 'running' | 'unknown' | 'inherited';
  /** Monotonic time at which the start was recorded, or at which this process became owner. */
  trackedSinceMs: number;
  /**
   * Monotonic time at which the start call ended. Only the reply to a hold call that was sent later shows
   * whether the run exists.
   */
  startSettledAtMs: number;
  estimateMs: number;
  /** True once the run was found to be stalled, and is to be stopped. */
  isStalled: boolean;
  /** Completed share of the work in percent, as the worker last listed it. */
  percent: number;
  /**
   * Monotonic time of the newest progress, from which the stall time counts. Also set after a gap between
   * replies and while the run is paced, so that the stall time restarts.
   */
  lastProgressAtMs: number;
  /** Checkpoint from which the run resumes; empty for none, and for runs that a predecessor started. */
  startCheckpoint: string;
  /** Newest checkpoint; empty for none. */
  checkpoint: string;
  /** Newest load that the worker listed: tail latency in ms of a serving task, else used millicores. */
  load: number;
  /** Share of its work in percent that the newest pace call allows; undefined when it is unknown. */
  pacedPercent: number | undefined;
  /** Monotonic time of the newest pace call. */
  pacedAtMs: number;
  /** True while the owner can tell how long the whole run takes: it has seen its start, and was not cut off since. */
  isTimed: boolean;
  /** True once the speed was recorded for the worker, or from the start if it cannot be compared. */
  isSpeedRecorded: boolean;
  /** Monotonic time of the newest stop order; 0 for none. */
  stopSentAtMs: number;
  /** Monotonic time at which the worker confirmed a stop; 0 for none. */
  stopConfirmedAtMs: number;
}
