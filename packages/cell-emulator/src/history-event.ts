import type { RunEnd } from '@acaciahoist/cell-types/run-end';

/** An event of a run at a worker. */
export interface HistoryEvent {
  atMs: number;
  /** Time at which the start was sent, which a worker may execute late; equal to `atMs` for other events. */
  sentMs: number;
  /** `acknowledged`: the end of the run was acknowledged, so that the worker no longer reports it. */
  kind: 'started' | 'ended' | 'acknowledged';
  task: string;
  run: number;
  worker: string;
  /** How the run ended; undefined for `started`. */
  how: RunEnd | undefined;
}
