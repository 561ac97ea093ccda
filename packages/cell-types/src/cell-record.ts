import type { CellJob } from './index.js';
import type { RunEnd } from './run-end.js';

/**
 * A record of the cell log. Fronts append `job` and `cancel`; all other kinds come from the owner and
 * are fenced by its epoch. The log order decides between concurrent records.
 */
export type CellRecord =
  /** A process becomes the owner, unless an earlier claim has the same or a higher token. */
  | { kind: 'claim'; owner: string; address: string; token: number; wallMs: number }
  /** The owner is alive. Carries its Unix time, by which ended jobs are forgotten. */
  | { kind: 'renew'; wallMs: number }
  /** The owner hands over; another process may claim at once. */
  | { kind: 'release' }
  | { kind: 'job'; job: CellJob }
  | { kind: 'cancel'; id: string }
  /** The owner is about to send the start of a run to a worker. */
  | { kind: 'start'; task: string; run: number; worker: string }
  /** The owner has reached a life of a worker; later starts on the worker are starts on this life. */
  | { kind: 'life'; worker: string; born: number }
  /** A worker has confirmed the first start of a task of the job. */
  | { kind: 'begun'; job: string }
  | { kind: 'end'; task: string; run: number; how: RunEnd; saved: string };
