import type Result from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import type { Failure } from '@acaciahoist/errors';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';

interface Options {
  clock: Clock;
  commit: (entries: readonly JournalEntry[]) => Promise<Result<unknown, Failure>>;
  retryDelayMs: number;
}

/**
 * Queue of journal entries for facts that already happened, for instance the end of a task. They are
 * appended in order and wait while the log is unavailable. The queue has no limit of its own: the
 * partition bounds the number of tasks and jobs, and each has a bounded number of facts.
 */
export class Outbox {
  static create(options: Options): Outbox {
    return new Outbox(options);
  }

  private entries: JournalEntry[] = [];
  private activeFlush: Promise<void> | undefined;
  private isStopped = false;
  private cancelRetry: () => void = () => undefined;

  private constructor(private readonly options: Options) {}

  get size(): number {
    return this.entries.length;
  }

  add(...entries: JournalEntry[]): void {
    this.entries.push(...entries);
    void this.flush();
  }

  /** Appends the waiting entries. Resolves when the queue is empty or an append failed. */
  flush(): Promise<void> {
    this.activeFlush ??= this.appendAll().finally(() => {
      this.activeFlush = undefined;
    });
    return this.activeFlush;
  }

  stop(): void {
    this.isStopped = true;
    this.cancelRetry();
  }

  private async appendAll(): Promise<void> {
    while (this.entries.length > 0 && !this.isStopped) {
      const batch = this.entries;
      this.entries = [];
      // Replay ignores an entry that it has already applied, so a batch whose result is unknown may be
      // appended again.
      const result = await this.options.commit(batch);
      if (result.isOk) continue;
      this.entries = [...batch, ...this.entries];
      this.scheduleRetry();
      return;
    }
  }

  private scheduleRetry(): void {
    if (this.isStopped) return;
    this.cancelRetry();
    this.cancelRetry = this.options.clock.after(this.options.retryDelayMs, () => {
      void this.flush();
    });
  }
}
