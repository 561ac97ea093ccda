import type { CellJob } from './cell-job.js';
import type { RunEnd } from './run-end.js';

/**
 * A record of the cell log. Fronts append `job` and `cancel`. The owner appends all other kinds,
 * and the store fences them by the epoch of the owner. The order in the log decides between
 * concurrent records.
 */
export type CellRecord =
  /**
   * A process becomes the owner, unless an earlier claim has the same or a higher token. `recordsLeaseEnds`: it
   * extends no lease of a worker with a recorded lease end before it has recorded that it reaches the worker.
   * `knowsCopies`: it knows all second runs of speculative tasks that the log has. Both are absent from owners of
   * earlier versions.
   */
  | {
      kind: 'claim';
      owner: string;
      address: string;
      token: number;
      wallMs: number;
      recordsLeaseEnds?: boolean;
      knowsCopies?: boolean;
    }
  /**
   * The owner is alive. `wallMs` is its Unix time, `termMs` the time on its monotonic clock since it applied its
   * claim with this token, rounded down to whole ms. All records before `asOfOffset` were in the log at that time.
   * Replicas remove ended jobs by `termMs`. Owners of earlier versions record `wallMs` only.
   *
   * `unreachable`: workers that the owner does not reach, each with the cell time in ms at which all its leases
   * have expired. `reached`: workers that it reaches again, and whose leases it extends from then on.
   *
   * `copies`: second runs of speculative tasks that the owner is about to send to a worker, beside the current run.
   * Earlier versions ignore the field, and take such a run for one that is not recorded.
   *
   * `stalls`: runs that have made no progress beyond `percent` for `ageMs`, and count as stalled after `limitMs`; 0 for
   * one that has made progress again.
   */
  | {
      kind: 'renew';
      wallMs: number;
      token?: number;
      termMs?: number;
      asOfOffset?: number;
      unreachable?: [string, number][];
      reached?: string[];
      copies?: [task: string, run: number, worker: string][];
      stalls?: [task: string, run: number, percent: number, ageMs: number, limitMs: number][];
    }
  /** The owner gives up ownership; another process may claim it at once. */
  | { kind: 'release' }
  /** A front has accepted a job. */
  | { kind: 'job'; job: CellJob }
  /** A client has cancelled the job `id`. */
  | { kind: 'cancel'; id: string }
  /** The owner is about to send the start of a run to a worker. */
  | { kind: 'start'; task: string; run: number; worker: string }
  /**
   * The owner has reached the incarnation of the worker that started at `born`, in Unix ms. Later
   * starts on the worker are decided for this incarnation.
   */
  | { kind: 'life'; worker: string; born: number }
  /** A worker has confirmed the first start of a task of the job. */
  | { kind: 'begun'; job: string }
  /**
   * A run has ended. `saved` is the checkpoint that it left; empty for none. With `copy`, the copy of this number is
   * done and not the current run `run`, which continues until it is stopped. Earlier versions ignore the field and
   * take `run` for done.
   */
  | { kind: 'end'; task: string; run: number; how: RunEnd; saved: string; copy?: number };
