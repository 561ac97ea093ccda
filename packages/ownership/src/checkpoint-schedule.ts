import type { Configuration } from '@acaciahoist/configuration';
import type { Offset } from '@acaciahoist/types/offset';

/**
 * Decides when a process appends a checkpoint of the configuration. The due time differs between
 * processes, and each process postpones its own when it reads a checkpoint of any process. So usually only
 * one of them appends.
 */
export class CheckpointSchedule {
  static create(
    configuration: Configuration,
    retentionMs: number,
    jitterFraction: () => number,
    nowMs: number,
  ): CheckpointSchedule {
    return new CheckpointSchedule(configuration, retentionMs, jitterFraction, nowMs);
  }

  private lastCheckpointOffset: Offset = -1;
  private dueAtMs: number;

  private constructor(
    private readonly configuration: Configuration,
    private readonly retentionMs: number,
    private readonly jitterFraction: () => number,
    nowMs: number,
  ) {
    // The age of a checkpoint that was read at the start is unknown, so the first append is due early.
    this.dueAtMs = nowMs + this.shortDelayMs();
  }

  /** Returns true when the caller must append a checkpoint now, and then false for a short delay. */
  isDue(nowMs: number): boolean {
    const offset = this.configuration.lastCheckpoint();
    if (offset !== this.lastCheckpointOffset) {
      this.dueAtMs =
        nowMs + (this.lastCheckpointOffset === -1 ? this.shortDelayMs() : this.intervalMs());
      this.lastCheckpointOffset = offset;
    }
    const { revision } = this.configuration.current();
    if (nowMs < this.dueAtMs || revision === 0 || !this.configuration.hasState()) return false;
    this.dueAtMs = nowMs + this.shortDelayMs();
    return true;
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
