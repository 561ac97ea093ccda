import type { Clock } from '@acaciahoist/clock';

/** Incarnation and clock of a worker, from its latest reply. */
interface ClockReading {
  incarnation: string;
  /** Time of the worker's clock as the reply states it. */
  workerMs: number;
  /** Monotonic time of this process when the reply was received. */
  receivedAtMs: number;
}

/**
 * Estimates the clock of each worker from its replies, so that a start can state its send time on the
 * clock of the worker. The estimate assumes that the reply took no time on the network, so it is behind the
 * clock of the worker by the time that the reply took. The stated send time is therefore too early, never too
 * late, and the worker refuses the start earlier, never later, than with an exact clock.
 */
export class WorkerClocks {
  static create(clock: Clock): WorkerClocks {
    return new WorkerClocks(clock);
  }

  private readonly readings = new Map<string, ClockReading>();

  private constructor(private readonly clock: Clock) {}

  /** Records the incarnation and the clock of the worker from the headers of a reply. */
  recordReply(worker: string, headers: Readonly<Record<string, string>>): void {
    const incarnation = headers['x-incarnation'];
    const workerMs = Number(headers['x-clock-ms']);
    if (incarnation === undefined || !Number.isFinite(workerMs)) return;
    this.readings.set(worker, { incarnation, workerMs, receivedAtMs: this.clock.monotonicMs() });
  }

  /**
   * Creates the headers that state the expected incarnation and the estimated current time of the worker.
   * Returns undefined before its first reply.
   */
  createHeaders(worker: string): Record<string, string> | undefined {
    const reading = this.readings.get(worker);
    if (reading === undefined) return undefined;
    const sentAtMs = reading.workerMs + this.clock.monotonicMs() - reading.receivedAtMs;
    return {
      'x-expected-incarnation': reading.incarnation,
      'x-sent-at-ms': sentAtMs.toFixed(3),
    };
  }

  /** Removes the reading of a worker. */
  forget(worker: string): void {
    this.readings.delete(worker);
  }
}
