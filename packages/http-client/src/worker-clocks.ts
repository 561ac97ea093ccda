import type { Clock } from '@acaciahoist/clock';

interface ClockReading {
  incarnation: string;
  /** Clock of the worker in the reply. */
  workerMs: number;
  /** Own monotonic time when the reply was received. */
  receivedMs: number;
}

/**
 * Estimates the clock of each worker from its replies, so that a start can carry a send time that
 * the worker can compare with its own clock. The estimate takes no travel time for the reply and is
 * therefore early by at most that time, which makes a worker refuse sooner and never later.
 */
export class WorkerClocks {
  static create(clock: Clock): WorkerClocks {
    return new WorkerClocks(clock);
  }

  private readonly readings = new Map<string, ClockReading>();

  private constructor(private readonly clock: Clock) {}

  /** Takes the headers of a reply of the worker. */
  recordReply(worker: string, headers: Readonly<Record<string, string>>): void {
    const incarnation = headers['x-incarnation'];
    const workerMs = Number(headers['x-clock-ms']);
    if (incarnation === undefined || !Number.isFinite(workerMs)) return;
    this.readings.set(worker, { incarnation, workerMs, receivedMs: this.clock.monotonicMs() });
  }

  /** Headers that state the incarnation and the present time of the worker, if they are known. */
  createHeaders(worker: string): Record<string, string> | undefined {
    const reading = this.readings.get(worker);
    if (reading === undefined) return undefined;
    const sentAtMs = reading.workerMs + this.clock.monotonicMs() - reading.receivedMs;
    return {
      'x-expected-incarnation': reading.incarnation,
      'x-sent-at-ms': sentAtMs.toFixed(3),
    };
  }

  forget(worker: string): void {
    this.readings.delete(worker);
  }
}
