import type Result from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import type { CellConfiguration } from '@acaciahoist/cell-types/cell-configuration';
import type { Failure } from '@acaciahoist/errors';
import type { EventLog } from '@acaciahoist/types/event-log';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import type { PeerCalls } from './peer-calls.js';

type Call = PeerCallMap['read-cell-configuration'];

interface Options {
  clock: Clock;
  log: EventLog;
  /** Increases the counter of this name in the metrics. */
  count: (name: string, by?: number) => void;
  peers: Pick<PeerCalls, 'call'>;
  decode: (data: Uint8Array) => Result<CellConfiguration, Failure>;
  /** Duration in ms of the current outage of the store; 0 while the store is available. */
  storeOutageMs: () => number;
}

/** Minimum time in ms between two log lines about a configuration that cannot be decoded. */
const UNREADABLE_LOG_INTERVAL_MS = 10_000;
/**
 * While the store answers, another process is asked for a newer version only after this time in ms, because the
 * store delivers it to all processes at nearly the same time.
 */
const FETCH_DELAY_MS = 700;
/** The store counts as unavailable after this outage in ms. A slow store answers within 400 ms. */
const STORE_OUTAGE_MS = 600;
/**
 * Largest part in bytes that one reply carries: 75 ms on a link of 7 Mbit/s, so that other calls over the same
 * connection are not delayed for long.
 */
const MAX_PART_BYTES = 65_536;
/** Timeout in ms of the call for one part. */
const PART_TIMEOUT_MS = 1_500;
/** A version of more bytes than this is not fetched. */
const MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024;
/** Maximum number of other processes that are remembered as sources of the version in force. */
const MAX_SOURCES = 256;
/** Rate at which parts are sent to all other processes together: two thirds of a link of 7 Mbit/s. */
const SERVED_BYTES_PER_MS = 600;
/** Parts are refused while those sent before need longer than this in ms at the rate above. */
const MAX_SERVED_BACKLOG_MS = 1_000;

/**
 * Holds the configuration in force. A newer version comes from the store or, when this process learns of it from
 * another one first, from that process. The version never becomes lower.
 */
export class ConfigurationKeeper {
  static create(options: Options): ConfigurationKeeper {
    return new ConfigurationKeeper(options);
  }

  /** The configuration in force; undefined until the first one is applied. */
  inForce: CellConfiguration | undefined;
  /** The bytes of the configuration in force. */
  private data: Uint8Array = Buffer.alloc(0);
  /** Number of versions that could not be decoded, and the monotonic time at which one was logged. */
  private unreadableCount = 0;
  private unreadableLoggedAtMs = Number.NEGATIVE_INFINITY;
  /** The newest version that another process has in force and this process cannot decode. */
  private undecodableVersion = Number.NEGATIVE_INFINITY;
  /** Time since which other processes report a newer version than the one in force; undefined if none does. */
  private behindSinceMs: number | undefined;
  private isFetching = false;
  /** Other processes that have reported the version in force, and the number of replies that named a source. */
  private readonly sources = new Set<string>();
  private namedSourceCount = 0;
  /** The parts of a version that have arrived. */
  private partial = { version: -1, size: 0, receivedBytes: 0, parts: [] as Uint8Array[] };
  /** Time until which sending the requested parts takes at the permitted rate. */
  private servingUntilMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: Options) {}

  /** Version in force; undefined for none. */
  version(): number | undefined {
    return this.inForce?.version;
  }

  /** Version in force as a field of a message; no field for none, as in messages of the previous version. */
  describeVersion(): { configurationVersion?: number } {
    const version = this.version();
    return version === undefined ? {} : { configurationVersion: version };
  }

  /**
   * Version in force for a process that reported another version or none. If that process is behind, names in turn this
   * process and the others that have the version, so that none of them has to send it to all.
   */
  describeVersionFor(reported: number | undefined): {
    configurationVersion?: number;
    configurationSource?: string;
  } {
    const description = this.describeVersion();
    if ((reported ?? -1) >= (description.configurationVersion ?? -1)) return description;
    this.namedSourceCount += 1;
    const source = [...this.sources][this.namedSourceCount % (this.sources.size + 1)];
    return source === undefined ? description : { ...description, configurationSource: source };
  }

  /** Applies bytes from the store unless they cannot be decoded or their version is not newer. */
  applyStored(data: Uint8Array): void {
    this.apply(data, 'store');
  }

  /**
   * The process at the address has this version in force, as it or another process reported; fetches the version if it
   * is newer.
   */
  observeVersion(address: string, version: number): void {
    if (version === this.version() && this.sources.size < MAX_SOURCES) this.sources.add(address);
    if (version <= Math.max(this.version() ?? -1, this.undecodableVersion)) return;
    const nowMs = this.options.clock.monotonicMs();
    this.behindSinceMs ??= nowMs;
    const isExpectedFromStore =
      this.options.storeOutageMs() < STORE_OUTAGE_MS && nowMs - this.behindSinceMs < FETCH_DELAY_MS;
    if (this.isFetching || isExpectedFromStore) return;
    this.isFetching = true;
    void this.fetch(address, version).finally(() => {
      this.isFetching = false;
    });
  }

  /** Part of the version in force for another process; undefined when it has to ask again later. */
  readPart(call: Call['request']): Call['reply'] | undefined {
    const { data } = this;
    if (this.version() !== call.version || call.from > data.byteLength) return undefined;
    const nowMs = this.options.clock.monotonicMs();
    const startMs = Math.max(nowMs, this.servingUntilMs);
    if (startMs - nowMs > MAX_SERVED_BACKLOG_MS) return undefined;
    const part = data.subarray(call.from, call.from + MAX_PART_BYTES);
    this.servingUntilMs = startMs + part.byteLength / SERVED_BYTES_PER_MS;
    return { version: call.version, size: data.byteLength, data: part };
  }

  /**
   * Fetches the parts of a version one after the other. After a failed call the parts that have arrived are kept,
   * and the next process that reports the version is asked for the others.
   */
  private async fetch(address: string, version: number): Promise<void> {
    if (this.partial.version !== version) this.clearPartial(version);
    const { partial } = this;
    do {
      const reply = await this.options.peers.call(
        address,
        'read-cell-configuration',
        { version, from: partial.receivedBytes },
        PART_TIMEOUT_MS,
      );
      // The store may have delivered the version meanwhile.
      if (reply.isErr || version <= (this.version() ?? -1)) return;
      const { size, data } = reply.value;
      const isFirst = partial.parts.length === 0;
      const isOdd =
        reply.value.version !== version ||
        size > MAX_CONFIGURATION_BYTES ||
        data.byteLength === 0 ||
        partial.receivedBytes + data.byteLength > size;
      if (isOdd || (!isFirst && size !== partial.size)) {
        this.clearPartial(version);
        return;
      }
      partial.size = size;
      partial.parts.push(data);
      partial.receivedBytes += data.byteLength;
    } while (partial.receivedBytes < partial.size);
    this.clearPartial(-1);
    this.options.count('configurations_fetched_total');
    if (this.apply(Buffer.concat(partial.parts), 'peer')) return;
    this.undecodableVersion = version;
    this.behindSinceMs = undefined;
  }

  private clearPartial(version: number): void {
    this.partial = { version, size: 0, receivedBytes: 0, parts: [] };
  }

  /** Puts the configuration in force if its version is newer; false when it cannot be decoded. */
  private apply(data: Uint8Array, source: 'store' | 'peer'): boolean {
    const configuration = this.options.decode(data);
    if (configuration.isErr) {
      this.reportUnreadable(configuration.error.message);
      return false;
    }
    const { version, queues } = configuration.value;
    if (version <= (this.version() ?? Number.NEGATIVE_INFINITY)) return true;
    this.inForce = configuration.value;
    // A copy does not keep the whole response of the store, which `data` may be a part of.
    this.data = Buffer.from(data);
    this.behindSinceMs = undefined;
    this.clearPartial(-1);
    this.sources.clear();
    this.options.log('info', 'configuration-in-force', { version, queues: queues.length, source });
    return true;
  }

  /** Logs that a version was refused, at a bounded rate; the one before it stays in force. */
  private reportUnreadable(reason: string): void {
    const { clock, log } = this.options;
    this.unreadableCount += 1;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.unreadableLoggedAtMs < UNREADABLE_LOG_INTERVAL_MS) return;
    this.unreadableLoggedAtMs = nowMs;
    log('error', 'configuration-unreadable', {
      reason,
      versionInForce: this.version() ?? null,
      unreadable: this.unreadableCount,
    });
  }
}
