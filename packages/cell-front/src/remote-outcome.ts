import type { JobOutcome } from '@acaciahoist/cell-types/job-outcome';

/** State of a job as another process reports it. */
export type RemoteOutcome =
  | { kind: 'known'; outcome: JobOutcome }
  /** No such job was in the log when the query arrived. */
  | { kind: 'absent' };
