import type { Clock } from '@acaciahoist/clock';
import { Instant } from '@acaciahoist/clock/instant';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { ReadResult } from '@acaciahoist/cell-types/read-result';
import type { EventLog } from '@acaciahoist/types/event-log';
import type { PeerCalls } from './peer-calls.js';
import { wireAge } from './wire-age.js';

interface Options {
  clock: Clock;
  log: EventLog;
  store: Pick<LogStore, 'read'>;
  peers: Pick<PeerCalls, 'call'>;
  /** Address of the owner; undefined when there is none or it is this process. */
  ownerAddress: () => string | undefined;
}

/** Timeout in ms of a call to the owner, beyond the wait for records there. A call takes 2 ms. */
const ROUND_TRIP_TIMEOUT_MS = 150;
/** Maximum wait for records at the owner in ms; a longer one would delay noticing a paused owner. */
const MAX_OWNER_WAIT_MS = 300;
/** Time in ms for which the store is read directly after the owner has not answered. */
const STORE_FALLBACK_MS = 500;

/**
 * Reads the cell log for a follower. It reads through the owner, which has the records already, so that the
 * calls to the store do not grow with the number of processes that follow the log. If the owner does not
 * answer, it reads from the store.
 */
export class CellLogReader {
  static create(options: Options): CellLogReader {
    return new CellLogReader(options);
  }

  private readStoreUntilMs = Number.NEGATIVE_INFINITY;
  private isOwnerAnswering = true;

  private constructor(private readonly options: Options) {}

  /** Reads records from offset `from` on; waits up to `waitMs` for the first. */
  async read(topic: string, from: number, waitMs: number): Promise<ReadResult> {
    const { clock, store, peers, ownerAddress } = this.options;
    const address = ownerAddress();
    if (address === undefined || clock.monotonicMs() < this.readStoreUntilMs)
      return store.read(topic, from, waitMs);
    const call = { from, waitMs: Math.min(waitMs, MAX_OWNER_WAIT_MS) };
    const sentAt = Instant.create(clock);
    const reply = await peers.call(address, 'read-log', call, call.waitMs + ROUND_TRIP_TIMEOUT_MS);
    // An owner sends all records up to the end of its replica, or none if its replica ends before `from`.
    if (reply.isOk && reply.value.end === from + reply.value.records.length) {
      this.setOwnerAnswering(address, true, '');
      const { end, records, heldMs = 0 } = reply.value;
      // The stated age is that at the time of the reply; the round trip without the owner's wait is added.
      const ageMs = wireAge.decode(reply.value.ageMs) + Math.max(0, sentAt.ageMs() - heldMs);
      return { kind: 'records', end, first: from, records: [...records], ageMs };
    }
    const reason = reply.isErr
      ? reply.error.message
      : `the reply names the end ${reply.value.end} and has ${reply.value.records.length} records from ${from} on`;
    this.setOwnerAnswering(address, false, reason);
    this.readStoreUntilMs = clock.monotonicMs() + STORE_FALLBACK_MS;
    return store.read(topic, from, 0);
  }

  /** Logs when the owner stops or resumes answering. */
  private setOwnerAnswering(owner: string, isAnswering: boolean, reason: string): void {
    if (isAnswering === this.isOwnerAnswering) return;
    this.isOwnerAnswering = isAnswering;
    if (isAnswering) this.options.log('info', 'owner-read-restored', { owner });
    else this.options.log('warn', 'owner-read-failed', { owner, reason });
  }
}
