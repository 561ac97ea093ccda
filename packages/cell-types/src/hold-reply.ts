import type { EndedRun } from './ended-run.js';
import type { RunningRun } from './running-run.js';

/** Result of a hold call, which extends the lease of a worker and reads its lists of runs. */
export type HoldReply =
  /** `clockMs`: time on the worker's clock. `born`: incarnation that answered. */
  | { kind: 'held'; clockMs: number; born: number; running: RunningRun[]; ended: EndedRun[] }
  /** The worker has seen a higher fencing token. */
  | { kind: 'fenced' }
  /** Another incarnation answered, or no process listens at the address. */
  | { kind: 'gone'; reason: string }
  | { kind: 'failed'; reason: string };
