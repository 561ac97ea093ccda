import type { JobOutcome } from '@acaciahoist/cell-types/job-outcome';

/** State of a job as another process knows it. */
export type RemoteOutcome =
  | { kind: 'known'; outcome: JobOutcome }
  /** No such job was in the log when the question arrived. */
  | { kind: 'absent' };
