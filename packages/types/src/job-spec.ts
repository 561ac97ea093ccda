import type { JobKind } from './job-kind.js';
import type { TaskGroup } from './task-group.js';

/** A job as a caller submits it. */
export interface JobSpec {
  /** Jobs of the same family share the learned estimates of demand and run time. */
  family: string;
  user: string;
  team: string;
  kind: JobKind;
  groups: readonly TaskGroup[];
  /** Declared run time of one task, ms. Services have none. */
  runMs?: number;
  /** True for urgent work, which the placement core prefers to other work. */
  urgent: boolean;
  /** Start time: wall-clock time in ms since the epoch before which the job must not start. */
  startAtMs?: number;
  /** Due time: wall-clock time in ms since the epoch after which a completed job counts as late. */
  dueAtMs?: number;
  /** True when a task that started may be started again after a failure. */
  repeatable: boolean;
  /** Idempotency key. Required when `repeatable` is false. */
  key?: string;
  /** Services that must be running before this one starts. */
  dependsOn?: readonly string[];
}
