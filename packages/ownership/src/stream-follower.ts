import type { Result } from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import type { Failure } from '@acaciahoist/errors';
import { BackOff } from '@acaciahoist/group-commit/back-off';
import { sleep } from '@acaciahoist/group-commit/sleep';
import type { StreamReader } from '@acaciahoist/group-commit/stream-reader';

/** Longest time for which one read waits for a new record. */
const POLL_MS = 1_000;
/** Interval at which the owner is checked; while it is alive, the stream is not read. */
const OWNER_CHECK_MS = 250;
/** Bounds of the delay after a failed read, in ms. */
const RETRY_MS = { first: 100, max: 2_000 };

/** Reads a stream continuously while no owner is known to be alive. */
export class StreamFollower {
  static create(clock: Clock, reader: StreamReader, isOwnerAlive: () => boolean): StreamFollower {
    return new StreamFollower(clock, reader, isOwnerAlive);
  }

  /** Incremented by each start and stop, so that the loop of an earlier start ends. */
  private generation = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly reader: StreamReader,
    private readonly isOwnerAlive: () => boolean,
  ) {}

  /** Reads to the end and continues reading. Resolves with the result of the first read to the end. */
  async start(): Promise<Result<void, Failure>> {
    this.generation += 1;
    const { generation } = this;
    const firstRead = await this.reader.readToEnd();
    void this.keepReading(generation);
    return firstRead;
  }

  /** Ends the reading after the current read. */
  stop(): void {
    this.generation += 1;
  }

  private async keepReading(generation: number): Promise<void> {
    const backOff = BackOff.create(RETRY_MS.first, RETRY_MS.max);
    while (generation === this.generation) {
      if (this.isOwnerAlive()) {
        await sleep(this.clock, OWNER_CHECK_MS);
        continue;
      }
      const page = await this.reader.readOnce(POLL_MS);
      if (page.isErr) await sleep(this.clock, backOff.next());
      else backOff.reset();
    }
  }
}
