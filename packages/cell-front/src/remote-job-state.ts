import type { CellJobState } from '@acaciahoist/cell-types/cell-job-state';

/** State of a job as another process reports it. */
export type RemoteJobState =
  | { kind: 'known'; state: CellJobState }
  /** No such job was in the log when the query arrived. */
  | { kind: 'absent' };
