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

const headShape = shapes.object({
  slot: shapes.string,
  chunks: shapes.integerFrom(1),
  offset: shapes.integerFrom(0),
  isCompressed: shapes.optional(shapes.boolean),
});
const partShape = shapes.object({ offset: shapes.integerFrom(0), part: shapes.bytes });

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
   * caller reads again, as the owner writes snapshots at an interval.
   */
  async read(createEmpty: () => CellState, retentionMs: number): Promise<CellState | undefined> {
    const page = await this.options.store.readNewest(this.options.topic);
    if (page === undefined) return undefined;
    const values = new Map(page.records.map((record) => [record.key, record.value]));
    const headData = values.get('head');
    if (headData === undefined) return createEmpty();
    try {
      const state = this.decode(headData, values, retentionMs);
      if (state !== undefined) this.lastProblem = undefined;
      return state;
    } catch (error) {
      // msgpackr, zlib and the checks throw for content that no process of this system has written.
      this.logProblem('error', 'snapshot-unreadable', { error: String(error) });
      return undefined;
    }
  }

  /** Returns undefined for a snapshot that is being replaced; throws for one that cannot be decoded. */
  private decode(
    headData: Uint8Array,
    values: ReadonlyMap<string, Uint8Array | undefined>,
    retentionMs: number,
  ): CellState | undefined {
    const head = decodeValue(headData, headShape, 'head') as SnapshotHead;
    const parts: Uint8Array[] = [];
    for (let index = 0; index < head.chunks; index += 1) {
      const key = `${head.slot}.${index}`;
      const partData = values.get(key);
      const content =
        partData && (decodeValue(partData, partShape, key) as { offset: number; part: Uint8Array });
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

function decodeValue(data: Uint8Array, shape: Shape, name: string): unknown {
  const value: unknown = packr.unpack(data);
  const shapeError = findShapeError(shape, value, name);
  if (shapeError !== undefined) throw new Error(shapeError);
  return value;
}
