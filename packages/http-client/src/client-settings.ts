import type { Clock } from '@acaciahoist/clock';

/** Settings of an `HttpClient`. */
export interface ClientSettings {
  clock: Clock;
  /** Name of the calling process, sent in the header `x-process`. */
  process: string;
  /**
   * Largest number of connections per address for ordinary calls. Default 8, the number of slots of a
   * runner.
   */
  maxConnections?: number;
  /**
   * Largest number of idle connections per address. Default 6: nine processes then hold 54 idle connections
   * to a runner, which accepts 60.
   */
  maxIdle?: number;
  /** Largest number of connections per address for long-poll reads. Default 64. */
  maxPollConnections?: number;
  /** Age of the last reply from which an idle connection is probed, and the probe interval. Default 2,000. */
  probeEveryMs?: number;
  /** Timeout of a probe; a connection that does not answer in time is replaced. Default 500. */
  probeTimeoutMs?: number;
  /** Time without a call after which the last connection to an address is closed. Default 30,000. */
  idleCloseMs?: number;
}
