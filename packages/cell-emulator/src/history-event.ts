import type { RunEnd } from '@acaciahoist/cell-types/run-end';

/** What a worker saw of a run. */
export interface HistoryEvent {
  atMs: number;
  kind: 'started' | 'ended';
  task: string;
  run: number;
  worker: string;
  how: RunEnd | undefined;
}
