import type { JobSpec } from '@acaciahoist/types/job-spec';

/**
 * A declared service that the partition must keep running. The spec's family holds the service's name.
 */
export interface ServiceJob {
  spec: JobSpec;
}
