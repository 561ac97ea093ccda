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
  /** Address of another process that owns the cell; undefined for none or oneself. */
  ownerAddress: () => string | undefined;
}

/** Time in ms for the way to the owner and back, beyond the wait. A call takes 2 ms. */
const ROUND_TRIP_TIMEOUT_MS = 150;
/** Longest wait at the owner in ms; an owner that stands still must be noticed soon. */
const MAX_OWNER_WAIT_MS = 300;
/** Time in ms for which the store is read after the owner did not answer. */
const STORE_FALLBACK_MS = 500;

/**
 * Reads the cell log for a follower. Load pattern: many processes that follow one log. The owner has
 * read the records already and hands them on, so that the calls to the store do not grow with the
 * number of processes; without an answer of the owner the store is read.
 */
export class CellLogReader {
  static create(options: Options): CellLogReader {
    return new CellLogReader(options);
  }

  private readStoreUntilMs = Number.NEGATIVE_INFINITY;
  private isOwnerAnswering = true;

  private constructor(private readonly options: Options) {}

  async read(topic: string, from: number, waitMs: number): Promise<ReadResult> {
    const { clock, store, peers, ownerAddress } = this.options;
    const address = ownerAddress();
    if (address === undefined || clock.monotonicMs() < this.readStoreUntilMs)
      return store.read(topic, from, waitMs);
    const call = { from, waitMs: Math.min(waitMs, MAX_OWNER_WAIT_MS) };
    const sent = Instant.create(clock);
    const reply = await peers.call(address, 'read-log', call, call.waitMs + ROUND_TRIP_TIMEOUT_MS);
    if (reply.isOk) {
      this.noteOwnerAnswering(address, true, '');
      const { end, records, heldMs = 0 } = reply.value;
      // The owner told the age when it replied; the rest of the time the call was under way.
      const ageMs = wireAge.decode(reply.value.ageMs) + Math.max(0, sent.ageMs() - heldMs);
      return { kind: 'records', end, first: from, records: [...records], ageMs };
    }
    this.noteOwnerAnswering(address, false, reply.error.message);
    this.readStoreUntilMs = clock.monotonicMs() + STORE_FALLBACK_MS;
    return store.read(topic, from, 0);
  }

  private noteOwnerAnswering(owner: string, isAnswering: boolean, reason: string): void {
    if (isAnswering === this.isOwnerAnswering) return;
    this.isOwnerAnswering = isAnswering;
    if (isAnswering) this.options.log('info', 'owner-feed-regained', { owner });
    else this.options.log('warn', 'owner-feed-lost', { owner, reason });
  }
}
