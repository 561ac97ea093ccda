import type { ClosedPeriod } from './closed-period.js';

/** A period of one partition in a report. Digests are null while the period is open in the partition. */
export type PartitionPeriod =
  | ClosedPeriod
  | (Omit<ClosedPeriod, 'digest' | 'previousDigest'> & {
      readonly digest: null;
      readonly previousDigest: null;
    });
