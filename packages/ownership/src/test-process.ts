import { err, type Result } from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import { Failure } from '@acaciahoist/errors';
import type { LogStream } from '@acaciahoist/types/log-stream';

/**
 * A process that can be paused or suspended, for tests. Meanwhile it receives no timer and no reply from the
 * log. Its monotonic clock, which has the given rate, continues in a pause and stops in a suspension.
 */
export class TestProcess {
  static create(base: Clock, rate = 1): TestProcess {
    return new TestProcess(base, rate);
  }

  readonly clock: Clock;
  private paused = false;
  /** Time of the base clock at which the current suspension began; undefined without one. */
  private suspendedSinceMs: number | undefined;
  /** Total duration in ms of the suspensions that have ended. */
  private suspendedMs = 0;
  private wallOffsetMs = 0;
  private deferredCallbacks: (() => void)[] = [];

  private constructor(
    private readonly base: Clock,
    rate: number,
  ) {
    this.clock = {
      monotonicMs: () => ((this.suspendedSinceMs ?? base.monotonicMs()) - this.suspendedMs) * rate,
      wallMs: () => base.wallMs() + this.wallOffsetMs,
      after: (delayMs, run) => {
        let isCancelled = false;
        const cancel = base.after(delayMs / rate, () => {
          this.whenRunning(() => {
            if (!isCancelled) run();
          });
        });
        return () => {
          isCancelled = true;
          cancel();
        };
      },
    };
  }

  isPaused(): boolean {
    return this.paused;
  }

  pause(): void {
    this.paused = true;
  }

  suspend(): void {
    this.paused = true;
    this.suspendedSinceMs ??= this.base.monotonicMs();
  }

  /** Shifts the wall clock of this process only. */
  jumpWall(byMs: number): void {
    this.wallOffsetMs += byMs;
  }

  resume(): void {
    this.paused = false;
    if (this.suspendedSinceMs !== undefined)
      this.suspendedMs += this.base.monotonicMs() - this.suspendedSinceMs;
    this.suspendedSinceMs = undefined;
    for (const run of this.deferredCallbacks.splice(0)) run();
  }

  /** Returns the log for this process. Its calls fail after their timeout while it is not reachable. */
  connect(log: LogStream, isReachable: () => boolean = () => true): LogStream {
    const deliverWhenRunning = async <Value>(reply: Promise<Value>): Promise<Value> => {
      const value = await reply;
      await new Promise<void>((resolve) => {
        this.whenRunning(resolve);
      });
      return value;
    };
    const fail = (kind: 'append-unknown' | 'log-unavailable', afterMs: number) =>
      new Promise<Result<never, Failure>>((resolve) => {
        this.clock.after(afterMs, () => {
          resolve(err(Failure.create(kind, 'the log is unreachable')));
        });
      });
    return {
      append: (data, timeoutMs) =>
        deliverWhenRunning(
          isReachable() ? log.append(data, timeoutMs) : fail('append-unknown', timeoutMs),
        ),
      read: (from, waitMs) =>
        deliverWhenRunning(
          isReachable() ? log.read(from, waitMs) : fail('log-unavailable', waitMs + 100),
        ),
    };
  }

  /** Runs a callback now, or when the process resumes. */
  private whenRunning(run: () => void): void {
    if (this.paused) this.deferredCallbacks.push(run);
    else run();
  }
}
