import { constants, deflateSync, inflateSync } from 'node:zlib';
import { Packr } from 'msgpackr';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import { snapshotCodec } from '@acaciahoist/cell-state/snapshot-codec';
import type { CellState } from '@acaciahoist/cell-state';
import type { EventLog } from '@acaciahoist/types/event-log';
import type { LogLevel } from '@acaciahoist/types/log-level';
import type { Shape } from '@acaciahoist/types/shape';
import { findShapeError } from '@acaciahoist/types/find-shape-error';
import { shapes } from '@acaciahoist/types/shapes';
import { AppendOutcome } from './append-outcome.js';

const packr = new Packr({ useRecords: false });
/** Maximum number of bytes of a part; the store accepts records of up to 256 KiB. */
const MAX_PART_BYTES = 200_000;
/** Maximum size in bytes of a snapshot that is not compressed: half of the memory for control on a node. */
const MAX_SNAPSHOT_BYTES = 128 * 1024 * 1024;

/**
 * Head record: names the slot of the newest complete snapshot and its number of parts, `chunks`.
 */
interface SnapshotHead {
  slot: string;
  chunks: number;
  offset: number;
  /** Absent in snapshots of earlier versions, which are not compressed. */
  isCompressed?: boolean;
}

/**
 * Number of failed reads in a row after which a snapshot is read that the head does not name. A replica reads
 * every 100 ms while it loads, and an owner writes a snapshot every 4 s: after 10 s there is probably none.
 */
const MAX_FAILED_READS = 100;

const headShape = shapes.object({
  slot: shapes.string,
  chunks: shapes.integerFrom(1),
  offset: shapes.integerFrom(0),
  isCompressed: shapes.optional(shapes.boolean),
});
const partShape = shapes.object({ offset: shapes.integerFrom(0), part: shapes.bytes });

/** Values of the topic by key. */
type Values = ReadonlyMap<string, Uint8Array | undefined>;

interface Options {
  store: Pick<LogStore, 'readNewest' | 'encodeKeyed'>;
  topic: string;
  log: EventLog;
}

/**
 * Stores the newest snapshot of the cell in a keyed topic. Each writer alternates between two slots
 * and writes the head record last, so that an unfinished snapshot never hides the previous one, no
 * matter which process wrote it.
 */
export class SnapshotStore {
  static create(options: Options): SnapshotStore {
    return new SnapshotStore(options);
  }

  /** Prefix of the names of the writer's slots. */
  private writer = '';
  private nextSlot: 'a' | 'b' = 'a';
  /** True once the parts of other writers are removed from the topic. */
  private hasRemovedForeignParts = true;
  /** Why the last read found no complete snapshot; undefined if it found one. */
  private lastProblem: string | undefined;
  /** Number of reads in a row that found no complete snapshot. */
  private failedReads = 0;

  private constructor(private readonly options: Options) {}

  /**
   * Must be called before the first write of an owner; `writer` differs from that of any other
   * owner.
   */
  setWriter(writer: string): void {
    this.writer = writer;
    this.nextSlot = 'a';
    this.hasRemovedForeignParts = false;
  }

  /**
   * Writes a snapshot through `append`, which fences predecessors. True when `read` returns this
   * snapshot from now on.
   */
  async write(
    state: CellState,
    append: (records: Uint8Array[]) => Promise<AppendOutcome>,
  ): Promise<boolean> {
    const offset = state.nextOffset;
    // Compressed because every process reads the snapshot when it starts, some over links of 2
    // Mbit/s.
    const data = deflateSync(snapshotCodec.encode(state), { level: constants.Z_BEST_SPEED });
    const slot = `${this.writer}${this.nextSlot}`;
    this.nextSlot = this.nextSlot === 'a' ? 'b' : 'a';
    const partCount = Math.ceil(data.byteLength / MAX_PART_BYTES);
    const records: Uint8Array[] = [];
    for (let index = 0; index < partCount; index += 1) {
      const part = data.subarray(index * MAX_PART_BYTES, (index + 1) * MAX_PART_BYTES);
      records.push(this.encode(`${slot}.${index}`, { offset, part }));
    }
    const head: SnapshotHead = { slot, chunks: partCount, offset, isCompressed: true };
    for (const record of records)
      if ((await append([record])) !== AppendOutcome.appended) return false;
    if ((await append([this.encode('head', head)])) !== AppendOutcome.appended) return false;
    if (!this.hasRemovedForeignParts)
      this.hasRemovedForeignParts = await this.removeForeignParts(append);
    return true;
  }

  /** Removes the parts that other writers left in the topic; true when none remains. */
  private async removeForeignParts(
    append: (records: Uint8Array[]) => Promise<AppendOutcome>,
  ): Promise<boolean> {
    const { store, topic } = this.options;
    const page = await store.readNewest(topic);
    if (page === undefined) return false;
    const isOwn = (key: string): boolean =>
      key === 'head' || ['a', 'b'].some((slot) => key.startsWith(`${this.writer}${slot}.`));
    const foreignRecords = page.records.filter(({ key }) => !isOwn(key));
    if (foreignRecords.length === 0) return true;
    const removals = foreignRecords.map(({ key }) => store.encodeKeyed({ key, value: undefined }));
    return (await append(removals)) === AppendOutcome.appended;
  }

  /**
   * Reads the newest snapshot; returns an empty state if there is none. Undefined when the store
   * did not answer, the snapshot was being replaced while it was read, or it cannot be decoded; the
   * caller reads again, as the owner writes snapshots at an interval. After `MAX_FAILED_READS` reads
   * returns the newest complete snapshot in the topic instead.
   */
  async read(createEmpty: () => CellState, retentionMs: number): Promise<CellState | undefined> {
    const page = await this.options.store.readNewest(this.options.topic);
    if (page === undefined) return undefined;
    const values = new Map(page.records.map((record) => [record.key, record.value]));
    const slots = new Set(
      [...values]
        .filter(([key, value]) => value !== undefined && key.includes('.'))
        .map(([key]) => key.slice(0, key.lastIndexOf('.'))),
    );
    const hasHead = values.get('head') !== undefined;
    if (!hasHead && slots.size === 0) return createEmpty();
    const state = this.readNamed(values, retentionMs);
    if (state !== undefined) {
      this.failedReads = 0;
      this.lastProblem = undefined;
      return state;
    }
    this.failedReads += 1;
    if (this.failedReads < MAX_FAILED_READS) return undefined;
    return (
      this.readNewestComplete(values, slots, retentionMs) ?? (hasHead ? undefined : createEmpty())
    );
  }

  /** Reads the snapshot that the head names; undefined when that is not possible at present. */
  private readNamed(values: Values, retentionMs: number): CellState | undefined {
    const headData = values.get('head');
    try {
      if (headData === undefined) throw new Error('the topic has parts and no head');
      const head = decodeValue(headData, headShape, 'head') as SnapshotHead;
      return this.decode(head, values, retentionMs);
    } catch (error) {
      // msgpackr, zlib and the checks throw for content that no process of this system has written.
      this.logProblem('error', 'snapshot-unreadable', { error: String(error) });
      return undefined;
    }
  }

  /**
   * Reads the newest complete snapshot, whatever the head names. The log continues any snapshot, and
   * the checksum of a compressed one shows that it is complete.
   */
  private readNewestComplete(
    values: Values,
    slots: ReadonlySet<string>,
    retentionMs: number,
  ): CellState | undefined {
    let newest: CellState | undefined;
    for (const slot of slots) {
      try {
        const state = this.decode(createHead(slot, values), values, retentionMs);
        if (state !== undefined && state.nextOffset > (newest?.nextOffset ?? -1)) newest = state;
      } catch {
        // The parts of the slot are odd or not complete; `readNamed` has logged why the head is not used.
        continue;
      }
    }
    if (newest !== undefined)
      this.options.log('warn', 'snapshot-fallback', { offset: newest.nextOffset });
    return newest;
  }

  /** Returns undefined for a snapshot that is being replaced; throws for one that cannot be decoded. */
  private decode(head: SnapshotHead, values: Values, retentionMs: number): CellState | undefined {
    const parts: Uint8Array[] = [];
    for (let index = 0; index < head.chunks; index += 1) {
      const content = findPart(values, head.slot, index);
      if (content?.offset !== head.offset) {
        this.logProblem('warn', 'snapshot-incomplete', { offset: head.offset, chunk: index });
        return undefined;
      }
      parts.push(content.part);
    }
    const data = Buffer.concat(parts);
    const isCompressed = head.isCompressed === true;
    const state = snapshotCodec.decode(
      isCompressed ? inflateSync(data, { maxOutputLength: MAX_SNAPSHOT_BYTES }) : data,
      retentionMs,
    );
    if (state.nextOffset === head.offset) return state;
    throw new Error(`the head names offset ${head.offset}, the content ${state.nextOffset}`);
  }

  /** Logs a problem unless the previous read had the same one, because reads are repeated. */
  private logProblem(
    level: LogLevel,
    event: string,
    fields: Record<string, string | number>,
  ): void {
    const problem = JSON.stringify([event, fields]);
    if (problem !== this.lastProblem) this.options.log(level, event, fields);
    this.lastProblem = problem;
  }

  private encode(key: string, value: unknown): Uint8Array {
    return this.options.store.encodeKeyed({ key, value: packr.pack(value) });
  }
}

/** Creates a head for the parts in the slot. */
function createHead(slot: string, values: Values): SnapshotHead {
  const offset = findPart(values, slot, 0)?.offset;
  if (offset === undefined) throw new Error(`slot ${slot} has no first part`);
  let chunks = 1;
  while (findPart(values, slot, chunks)?.offset === offset) chunks += 1;
  return { slot, chunks, offset, isCompressed: true };
}

function findPart(
  values: Values,
  slot: string,
  index: number,
): { offset: number; part: Uint8Array } | undefined {
  const key = `${slot}.${index}`;
  const data = values.get(key);
  return data && (decodeValue(data, partShape, key) as { offset: number; part: Uint8Array });
}

function decodeValue(data: Uint8Array, shape: Shape, name: string): unknown {
  const value: unknown = packr.unpack(data);
  const shapeError = findShapeError(shape, value, name);
  if (shapeError !== undefined) throw new Error(shapeError);
  return value;
}
