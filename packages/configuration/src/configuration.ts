import type { ConfigurationRecord } from '@acaciahoist/types/configuration-record';
import type { LogPage } from '@acaciahoist/types/log-page';
import type { LogRecord } from '@acaciahoist/types/log-record';
import type { Offset } from '@acaciahoist/types/offset';
import { StreamCursor } from '@acaciahoist/journal/stream-cursor';
import { ConfigurationLimits } from './configuration-limits.js';
import type { ConfigurationOptions } from './configuration-options.js';
import type { CurrentConfiguration } from './current-configuration.js';
import { decodeConfigurationRecord } from './decode-configuration-record.js';
import type { PublicationVerdict } from './publication-verdict.js';

/**
 * Replays the stream `configuration`. It uses no clock and no I/O, so that all readers of the same
 * records reach the same revision and text. A reader in a retention gap restores them from a
 * checkpoint.
 */
export class Configuration {
  static create(options: ConfigurationOptions = {}): Configuration {
    return new Configuration(options);
  }

  private readonly cursor = StreamCursor.create();
  private inForce: CurrentConfiguration = {
    revision: 0,
    text: '',
    operator: '',
    atMs: 0,
    conflicts: [],
  };
  private checkpointOffset: Offset = -1;

  private constructor(private readonly options: ConfigurationOptions) {}

  /** The configuration in force and the most recent conflicts. In a retention gap it is out of date. */
  current(): CurrentConfiguration {
    return this.inForce;
  }

  /** Offset of the record to read next. */
  nextOffset(): Offset {
    return this.cursor.nextOffset();
  }

  /** False in a retention gap until a checkpoint is restored. */
  hasState(): boolean {
    return !this.cursor.isInGap();
  }

  /** Offset of the last checkpoint whose revision was in force at its offset, or -1. */
  lastCheckpoint(): Offset {
    return this.checkpointOffset;
  }

  /** Builds the checkpoint of the records replayed so far. */
  checkpoint(): ConfigurationRecord {
    const { revision, text, operator, atMs } = this.inForce;
    return { type: 'checkpoint', revision, text, operator, atMs, asOf: this.nextOffset() - 1 };
  }

  /** Applies a page that was read at `nextOffset()`. */
  applyPage(page: LogPage): void {
    this.cursor.applyPage(page, (record) => {
      this.apply(record);
    });
  }

  /**
   * Applies one record. Malformed records and records that are not at `nextOffset()` have no
   * effect.
   */
  apply(logRecord: LogRecord): void {
    if (!this.cursor.advance(logRecord.offset)) return;
    const decoded = decodeConfigurationRecord(logRecord.data);
    if (decoded.isErr) return;
    if (decoded.value.type === 'checkpoint') this.applyCheckpoint(decoded.value, logRecord.offset);
    else if (this.hasState()) this.applyPublication(decoded.value, logRecord.offset);
  }

  /**
   * Ends a retention gap with a checkpoint. Outside a gap a checkpoint does not change the
   * configuration: the reader has replayed the records before it, and the checkpoint is stale when
   * its append was delayed.
   */
  private applyCheckpoint(
    record: ConfigurationRecord & { type: 'checkpoint' },
    offset: Offset,
  ): void {
    if (this.cursor.canResume(record.asOf)) {
      const { revision, text, operator, atMs } = record;
      this.inForce = { revision, text, operator, atMs, conflicts: this.inForce.conflicts };
      this.cursor.resume(record.asOf);
      return;
    }
    if (record.revision === this.inForce.revision) this.checkpointOffset = offset;
  }

  private applyPublication(
    publication: ConfigurationRecord & { type: 'publication' },
    offset: Offset,
  ): void {
    const result = this.decideResult(publication);
    const { text, operator, atMs, baseRevision } = publication;
    const { revision, conflicts } = this.inForce;
    if (result === 'accepted') {
      this.inForce = { revision: revision + 1, text, operator, atMs, conflicts };
    }
    if (result === 'conflict') {
      const conflict = { offset, baseRevision, revision, operator, atMs };
      const recentConflicts = [...conflicts, conflict].slice(-ConfigurationLimits.conflicts);
      this.inForce = { ...this.inForce, conflicts: recentConflicts };
    }
    const updated = this.inForce;
    this.options.onPublication?.({
      offset,
      publication,
      result,
      revision: updated.revision,
      text: updated.text,
      operator: updated.operator,
    });
  }

  private decideResult(
    publication: ConfigurationRecord & { type: 'publication' },
  ): PublicationVerdict['result'] {
    if (publication.baseRevision !== this.inForce.revision) return 'conflict';
    const accepts = this.options.accepts ?? (() => true);
    return accepts(publication.text, this.inForce.text) ? 'accepted' : 'unacceptable';
  }
}
