import type { Clock } from '@acaciahoist/clock';
import type { LogStore } from '@acaciahoist/cell-types/log-store';

interface Options {
  clock: Clock;
  store: Pick<LogStore, 'read'>;
  topic: string;
  /** Offset of the first record that the log retains. */
  first: number;
}

/**
 * Maximum wait in ms: a successor claims the cell within 2 s, and an owner writes a snapshot every
 * 4 s, on a slow store a few seconds later.
 */
const MAX_WAIT_MS = 10_000;
/**
 * An owner renews its claim every 250 ms, and a successor claims the cell within 2 s. When the log
 * has not grown for this time in ms, no process can write a snapshot.
 */
const MAX_QUIET_MS = 3_000;
/**
 * Maximum time in ms that counts between two checks: after a pause of the process, or an outage of
 * the store, nothing is known about the time between them.
 */
const MAX_COUNTED_GAP_MS = 1_000;

/**
 * Decides how long a process waits for a snapshot that reaches the first retained record of the log,
 * after records that it needs have expired.
 */
export class SnapshotWait {
  static create(options: Options): SnapshotWait {
    return new SnapshotWait(options);
  }

  /** Offset that a snapshot must reach. */
  requiredOffset: number;
  /** The log ended here or later when it was last read. */
  private endOffset: number;
  private waitedMs = 0;
  private quietMs = 0;
  private lastCheckAtMs: number;

  private constructor(private readonly options: Options) {
    this.requiredOffset = options.first;
    this.endOffset = options.first;
    this.lastCheckAtMs = options.clock.monotonicMs();
  }

  /**
   * Must be called after each snapshot that was read and does not reach `requiredOffset`. False when
   * no other one is to be expected.
   */
  async isSnapshotExpected(): Promise<boolean> {
    const { clock, store, topic } = this.options;
    const result = await store.read(topic, this.endOffset, 0);
    const nowMs = clock.monotonicMs();
    const elapsedMs = Math.min(MAX_COUNTED_GAP_MS, nowMs - this.lastCheckAtMs);
    this.lastCheckAtMs = nowMs;
    if (result.kind === 'failed') return true;
    this.requiredOffset = Math.max(this.requiredOffset, result.first);
    const endOffset = result.kind === 'records' ? result.end : result.first;
    this.waitedMs += elapsedMs;
    this.quietMs = endOffset > this.endOffset ? 0 : this.quietMs + elapsedMs;
    this.endOffset = Math.max(this.endOffset, endOffset);
    return this.waitedMs < MAX_WAIT_MS && this.quietMs < MAX_QUIET_MS;
  }
}
