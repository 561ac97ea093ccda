import type { Clock } from '@acaciahoist/clock';

/** Status calls that wait for the next change of a job. */
export class JobWaiters {
  static create(clock: Clock): JobWaiters {
    return new JobWaiters(clock);
  }

  private readonly callbacksByJob = new Map<string, Set<() => void>>();

  private constructor(private readonly clock: Clock) {}

  /** Resolves at the next change of the job or after `waitMs`. */
  wait(jobId: string, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const callbacks = this.callbacksByJob.get(jobId) ?? new Set();
      this.callbacksByJob.set(jobId, callbacks);
      const finish = (): void => {
        cancel();
        callbacks.delete(finish);
        if (callbacks.size === 0) this.callbacksByJob.delete(jobId);
        resolve();
      };
      const cancel = this.clock.after(waitMs, finish);
      callbacks.add(finish);
    });
  }

  notify(jobId: string): void {
    for (const finish of [...(this.callbacksByJob.get(jobId) ?? [])]) finish();
  }

  notifyAll(): void {
    for (const jobId of [...this.callbacksByJob.keys()]) this.notify(jobId);
  }
}
