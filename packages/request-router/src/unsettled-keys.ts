import type { KeyOutcome } from './key-outcome.js';
import type { KeyedRequestsOptions } from './keyed-requests-options.js';

const FIRST_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 5_000;
/** These attempts take about one hour, the default hold time; after it the partition has another owner. */
const MAX_RECORDING_ATTEMPTS = 750;

/**
 * Keys with an outcome that this process determined but could not record in the journal. Recording is
 * retried in the background; until it succeeds, calls with the key fail with `outcome-unknown`.
 */
export class UnsettledKeys {
  static create(
    options: Pick<KeyedRequestsOptions, 'clock' | 'findKey' | 'recordOutcome'>,
  ): UnsettledKeys {
    return new UnsettledKeys(options);
  }

  private readonly keys = new Map<string, { requestDigest: string; cancelTimer: () => void }>();
  private isClosed = false;

  private constructor(
    private readonly options: Pick<KeyedRequestsOptions, 'clock' | 'findKey' | 'recordOutcome'>,
  ) {}

  size(): number {
    return this.keys.size;
  }

  find(key: string): { requestDigest: string } | undefined {
    return this.keys.get(key);
  }

  /** Adds a key and schedules the first retry. */
  add(requestDigest: string, outcome: KeyOutcome): void {
    this.schedule(requestDigest, outcome, 1);
  }

  /** Stops the retries. The next owner of the partition records these keys with the outcome `unknown`. */
  close(): void {
    this.isClosed = true;
    for (const { cancelTimer } of this.keys.values()) cancelTimer();
  }

  private schedule(requestDigest: string, outcome: KeyOutcome, attempt: number): void {
    if (this.isClosed) return;
    const delayMs = Math.min(
      MAX_RETRY_DELAY_MS,
      FIRST_RETRY_DELAY_MS * 2 ** Math.min(attempt - 1, 10),
    );
    const cancelTimer = this.options.clock.after(delayMs, () => {
      void this.recordOrRetry(requestDigest, outcome, attempt);
    });
    this.keys.set(outcome.key, { requestDigest, cancelTimer });
  }

  /** True when the journal contains an outcome of the key. */
  private async tryRecord(outcome: KeyOutcome): Promise<boolean> {
    const { findKey, recordOutcome } = this.options;
    try {
      // An earlier append of unknown result may have taken effect.
      if (findKey(outcome.key)?.done !== undefined) return true;
      return (await recordOutcome(outcome)).isOk;
    } catch {
      return false;
    }
  }

  private async recordOrRetry(
    requestDigest: string,
    outcome: KeyOutcome,
    attempt: number,
  ): Promise<void> {
    if (await this.tryRecord(outcome)) this.keys.delete(outcome.key);
    else if (attempt < MAX_RECORDING_ATTEMPTS) this.schedule(requestDigest, outcome, attempt + 1);
  }
}
