/** Types that the packages share. Each has its own file, which is imported by its path. */
export type { PartitionId } from './partition-id.js';
