import type { Clock } from '@acaciahoist/clock';

/** Result of a wait. */
type Settled<T> =
  | { type: 'value'; value: T }
  | { type: 'rejected'; reason: unknown }
  | { type: 'timeout' }
  | { type: 'aborted' };

/** Waits for `promise` until `timeoutMs` have passed or `signal` aborts. Does not cancel the work behind it. */
export function awaitWithTimeout<T>(
  clock: Clock,
  timeoutMs: number,
  signal: AbortSignal | undefined,
  promise: Promise<T>,
): Promise<Settled<T>> {
  return new Promise((resolve) => {
    const abort = (): void => {
      finish({ type: 'aborted' });
    };
    const cancelTimer = clock.after(timeoutMs, () => {
      finish({ type: 'timeout' });
    });
    const finish = (settled: Settled<T>): void => {
      cancelTimer();
      signal?.removeEventListener('abort', abort);
      resolve(settled);
    };
    promise.then(
      (value) => {
        finish({ type: 'value', value });
      },
      (reason: unknown) => {
        finish({ type: 'rejected', reason });
      },
    );
    signal?.addEventListener('abort', abort);
    if (signal?.aborted === true) abort();
  });
}
