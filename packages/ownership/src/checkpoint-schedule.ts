import type { Clock } from '@acaciahoist/clock';
import { Instant } from '@acaciahoist/clock/instant';
import type { Configuration } from '@acaciahoist/configuration';
import type { Offset } from '@acaciahoist/types/offset';

/**
 * Decides when a process appends a checkpoint of the configuration. The due time differs between
 * processes, and each process postpones its own when it reads a checkpoint of any process. So usually only
 * one of them appends.
 */
export class CheckpointSchedule {
  static create(
    clock: Clock,
    configuration: Configuration,
    retentionMs: number,
    jitterFraction: () => number,
  ): CheckpointSchedule {
    return new CheckpointSchedule(clock, configuration, retentionMs, jitterFraction);
  }

  private lastCheckpointOffset: Offset = -1;
  /** The next append is due when `since` is `delayMs` old, including suspensions of the machine. */
  private due: { since: Instant; delayMs: number };

  private constructor(
    private readonly clock: Clock,
    private readonly configuration: Configuration,
    private readonly retentionMs: number,
    private readonly jitterFraction: () => number,
  ) {
    // The age of a checkpoint that was read at the start is unknown, so the first append is due early.
    this.due = this.createDue(this.shortDelayMs());
  }

  /** Returns true when the caller must append a checkpoint now, and then false for a short delay. */
  isDue(): boolean {
    const offset = this.configuration.lastCheckpoint();
    if (offset !== this.lastCheckpointOffset) {
      this.due = this.createDue(
        this.lastCheckpointOffset === -1 ? this.shortDelayMs() : this.intervalMs(),
      );
      this.lastCheckpointOffset = offset;
    }
    const { revision } = this.configuration.current();
    const isDue = this.due.since.ageMs() >= this.due.delayMs;
    if (!isDue || revision === 0 || !this.configuration.hasState()) return false;
    this.due = this.createDue(this.shortDelayMs());
    return true;
  }

  private createDue(delayMs: number): { since: Instant; delayMs: number } {
    return { since: Instant.create(this.clock), delayMs };
  }

  /** A third of the retention time, plus up to a twelfth that separates the processes. */
  private intervalMs(): number {
    return this.retentionMs / 3 + (this.retentionMs / 12) * this.jitterFraction();
  }

  /** Delay before the first checkpoint, and before the next attempt when an append fails. */
  private shortDelayMs(): number {
    return (this.retentionMs / 12) * (1 + this.jitterFraction());
  }
}
