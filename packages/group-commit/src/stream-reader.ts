import { err, ok, type Result } from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import { Instant } from '@acaciahoist/clock/instant';
import { Failure } from '@acaciahoist/errors';
import type { LogPage } from '@acaciahoist/types/log-page';
import type { LogStream } from '@acaciahoist/types/log-stream';
import type { Offset } from '@acaciahoist/types/offset';
import { BackOff } from './back-off.js';
import { sleep } from './sleep.js';

/** Bounds of the delay between two attempts of `readPast`, in ms. */
const RETRY_MS = { first: 100, max: 1_000 };

/** State that is rebuilt from the records of a stream. The reader passes it each page. */
interface Replay {
  nextOffset(): Offset;
  /**
   * False when retention removed unread records and no snapshot or checkpoint that covers them has been
   * read yet.
   */
  hasState(): boolean;
  applyPage(page: LogPage): void;
}

/** Reads a log stream and applies its pages to a replay. */
export class StreamReader {
  static create(log: LogStream, replay: Replay): StreamReader {
    return new StreamReader(log, replay);
  }

  private constructor(
    private readonly log: LogStream,
    private readonly replay: Replay,
  ) {}

  /** Reads one page; waits up to `waitMs` for its first record. */
  async readOnce(waitMs: number): Promise<Result<LogPage, Failure>> {
    const page = await this.log.read(this.replay.nextOffset(), waitMs);
    if (page.isOk) this.replay.applyPage(page.value);
    return page;
  }

  /**
   * Reads to the end of the stream. Fails with `log-unavailable`, and with `internal` when retention
   * removed records and nothing in the stream covers them.
   */
  async readToEnd(): Promise<Result<void, Failure>> {
    for (;;) {
      const previousOffset = this.replay.nextOffset();
      const page = await this.readOnce(0);
      if (page.isErr) return err(page.error);
      const nextOffset = this.replay.nextOffset();
      if (nextOffset >= page.value.end) break;
      if (nextOffset !== previousOffset) continue;
      const message = `The log returned no record at ${nextOffset} before its end ${page.value.end}.`;
      return err(Failure.create('log-unavailable', message));
    }
    if (this.replay.hasState()) return ok(undefined);
    const message =
      'Retention removed records of the stream, and no snapshot or checkpoint covers them.';
    return err(Failure.create('internal', message));
  }

  /**
   * Reads to the end of the stream until `offset` was read; retries after a failure. Returns the start of
   * the read that succeeded, or undefined when stopped.
   */
  async readPast(
    offset: Offset,
    clock: Clock,
    isStopped: () => boolean,
  ): Promise<Instant | undefined> {
    const backOff = BackOff.create(RETRY_MS.first, RETRY_MS.max);
    while (!isStopped()) {
      const start = Instant.create(clock);
      const read = await this.readToEnd();
      if (read.isOk && this.replay.nextOffset() > offset) return start;
      await sleep(clock, backOff.next());
    }
    return undefined;
  }
}
