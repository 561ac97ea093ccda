import type { Clock } from '@acaciahoist/clock';
import type { Team } from '@acaciahoist/cell-types/team';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { RunEnd } from '@acaciahoist/cell-types/run-end';
import type { CellState } from '@acaciahoist/cell-state';
import type { EventLog } from '@acaciahoist/types/event-log';
import type { AdviceCache } from './advice-cache.js';
import type { BegunJobs } from './begun-jobs.js';
import type { Proposals } from './proposals.js';
import type { RunTable } from './run-table.js';
import type { TrackedRun } from './tracked-run.js';
import type { StartWindow } from './start-window.js';
import type { WorkerHealth } from './worker-health.js';
import type { WorkerSession } from './worker-session.js';

/** Dependencies and state that the parts of a `CellOwner` share. */
export interface OwnerContext {
  clock: Clock;
  log: EventLog;
  /** Increases the counter of this name in the metrics. */
  count: (name: string, by?: number) => void;
  state: CellState;
  /** Fencing token of the owner. */
  token: number;
  /** Appends records to the cell log under the owner's epoch. */
  append: (records: CellRecord[]) => void;
  /** Teams of the configuration in force; undefined while none has been read. */
  teams: () => readonly Team[] | undefined;
  /** Age in ms of the newest acknowledged append. */
  lastAppendAgeMs: () => number;
  /** Event-loop delay of this process in ms. */
  loopDelayMs: () => number;
  /** Called when a worker has seen a higher fencing token. */
  onFenced: () => void;
  isStopped: () => boolean;
  /** The current session of each worker, by the worker's id. */
  sessions: ReadonlyMap<string, WorkerSession>;
  runs: RunTable;
  proposals: Proposals;
  startWindow: StartWindow;
  adviceCache: AdviceCache;
  workerHealth: WorkerHealth;
  begunJobs: BegunJobs;
  /** Appends the end of a run to the cell log, unless it is already being appended. */
  proposeRunEnd: (trackedRun: TrackedRun, how: RunEnd, reason: string) => void;
  /** Sends a stop order for a run unless one was sent shortly before. */
  sendStop: (session: WorkerSession, trackedRun: TrackedRun) => void;
}
