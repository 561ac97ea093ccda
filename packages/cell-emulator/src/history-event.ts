import type { RunEnd } from '@acaciahoist/cell-types/run-end';

/** An event of a run at a worker. */
export interface HistoryEvent {
  atMs: number;
  /** Time at which the start was sent; a worker may execute it late. Equal to `atMs` for other events. */
  sentAtMs: number;
  /** `acknowledged`: a process acknowledged the end of the run, so the worker no longer reports it. */
  kind: 'started' | 'ended' | 'acknowledged';
  task: string;
  run: number;
  worker: string;
  /** Checkpoint from which a `started` run resumes; empty for none. */
  checkpoint?: string;
  /** How the run ended; undefined for `started`. */
  how: RunEnd | undefined;
}
