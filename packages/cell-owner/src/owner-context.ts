import type { Clock } from '@acaciahoist/clock';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { RunEnd } from '@acaciahoist/cell-types/run-end';
import type { CellState } from '@acaciahoist/cell-state';
import type { EventLog } from '@acaciahoist/types/event-log';
import type { AdviceBook } from './advice-book.js';
import type { BegunJobs } from './begun-jobs.js';
import type { Proposals } from './proposals.js';
import type { RunTable } from './run-table.js';
import type { RunView } from './run-view.js';
import type { StartWindow } from './start-window.js';
import type { WorkerHealth } from './worker-health.js';
import type { WorkerLink } from './worker-link.js';

/** What the parts of an owner share. */
export interface OwnerContext {
  clock: Clock;
  log: EventLog;
  count: (name: string, by?: number) => void;
  state: CellState;
  token: number;
  /** Appends records under the owner's epoch. */
  append: (records: CellRecord[]) => void;
  /** Delay in ms with which the process gets to its work. */
  loopDelayMs: () => number;
  /** A worker has seen a higher token. */
  onFenced: () => void;
  isStopped: () => boolean;
  links: ReadonlyMap<string, WorkerLink>;
  runs: RunTable;
  proposals: Proposals;
  window: StartWindow;
  book: AdviceBook;
  health: WorkerHealth;
  begun: BegunJobs;
  /** Records that a run is over. */
  proposeEnd: (view: RunView, how: RunEnd, reason: string) => void;
  sendStop: (link: WorkerLink, view: RunView) => void;
}
