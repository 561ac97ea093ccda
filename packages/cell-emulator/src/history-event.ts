import type { RunEnd } from '@acaciahoist/cell-types/run-end';

/** What a worker saw of a run. */
export interface HistoryEvent {
  atMs: number;
  /** When the order was sent that started the run, which a worker may carry out late; `atMs` of other events. */
  sentMs: number;
  /** `noted`: the end was acknowledged, so that the worker forgets it. */
  kind: 'started' | 'ended' | 'noted';
  task: string;
  run: number;
  worker: string;
  how: RunEnd | undefined;
}
