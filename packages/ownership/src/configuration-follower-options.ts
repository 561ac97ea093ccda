import type { Clock } from '@acaciahoist/clock';
import type { LogStream } from '@acaciahoist/types/log-stream';

/** Settings of a `ConfigurationFollower`. Times are in ms. */
export interface ConfigurationFollowerOptions {
  clock: Clock;
  /** The stream `configuration`. */
  log: LogStream;
  /** Time for which the log keeps records. */
  retentionMs: number;
  /**
   * Returns true when a text may replace the text in force, as in the package `configuration`. Each
   * process decides on its own which publications are valid, so it must return the same in all of them.
   */
  accepts?: (text: string, inForce: string) => boolean;
  /** Timeout of an append. Default 2,000. */
  appendTimeoutMs?: number;
  /**
   * Returns a number from 0 to 1 that differs between processes. It delays their checkpoints by
   * different times, so that usually only one of them appends.
   */
  jitterFraction: () => number;
}
