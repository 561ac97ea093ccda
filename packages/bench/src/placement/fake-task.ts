import type { Resources } from '@acaciahoist/types/resources';
import type { Arrival } from './arrival.js';

/** A run of a task on a fake worker. */
export interface FakeTask {
  taskId: string;
  /** Task id without the attempt: job, group and index. */
  logicalTaskId: string;
  arrival: Arrival;
  worker: string;
  /** Real use. */
  usage: Resources;
  /** Use as last reported to the scheduler; null before the first report. */
  reportedUsage: Resources | null;
  throttled: boolean;
  workMs: number;
  progressMs: number;
  /** Progress at the start of this attempt, as the last checkpoint saved it; 0 without one. */
  startedAtProgressMs: number;
  /** End by a checkpoint or stop decision, which takes effect at `atMs`; null without one. */
  plannedEnd: { atMs: number; outcome: 'checkpointed' | 'stopped' } | null;
}
