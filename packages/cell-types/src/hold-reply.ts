import type { EndedRun } from './ended-run.js';
import type { RunningRun } from './running-run.js';

/** Result of a hold call, which extends the lease of a worker and reads its lists of runs. */
export type HoldReply =
  | {
      kind: 'held';
      /** Time on the worker's clock. */
      clockMs: number;
      /** Incarnation that answered. */
      born: number;
      running: RunningRun[];
      ended: EndedRun[];
      /** Highest number of a listed run end, also of one that cannot be decoded; 0 for none. */
      lastEnd: number;
      /** Number of rows of both lists that cannot be decoded. */
      unreadableRows: number;
      /** False when a run that is in neither list may still run or may have ended. */
      isComplete: boolean;
    }
  /** The worker has seen a higher fencing token. */
  | { kind: 'fenced' }
  /** Another incarnation answered, or no process listens at the address. */
  | { kind: 'gone'; reason: string }
  | { kind: 'failed'; reason: string };
