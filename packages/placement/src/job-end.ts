import type { Outcome } from '@acaciahoist/types/outcome';

/** Outcome of an ended job; each job has exactly one. */
export interface JobEnd {
  jobId: string;
  outcome: Outcome;
  reason: string;
}
