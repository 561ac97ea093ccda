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
 * Replays the stream `configuration`. Pure. All readers of the same records reach the same revision
 * and text; a reader that starts in a retention gap reaches them through a checkpoint.
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

  current(): CurrentConfiguration {
    return this.inForce;
  }

  /** Offset of the record to read next. */
  nextOffset(): Offset {
    return this.cursor.nextOffset();
  }

  /** False in a retention gap, until a checkpoint was found. */
  hasState(): boolean {
    return !this.cursor.isInGap();
  }

  /** Offset of the last checkpoint that holds the revision in force at its offset, or -1. */
  lastCheckpoint(): Offset {
    return this.checkpointOffset;
  }

  /** The checkpoint of what was replayed so far. */
  checkpoint(): ConfigurationRecord {
    const { revision, text, operator, atMs } = this.inForce;
    return { type: 'checkpoint', revision, text, operator, atMs, asOf: this.nextOffset() - 1 };
  }

  /** Applies a page as it was read from `nextOffset()`. */
  applyPage(page: LogPage): void {
    this.cursor.applyPage(page, (record) => {
      this.apply(record);
    });
  }

  /** Applies one record, which must be the one at `nextOffset()`. Malformed records have no effect. */
  apply(logged: LogRecord): void {
    if (!this.cursor.advance(logged.offset)) return;
    const decoded = decodeConfigurationRecord(logged.data);
    if (decoded.isErr) return;
    if (decoded.value.type === 'checkpoint') this.applyCheckpoint(decoded.value, logged.offset);
    else if (this.hasState()) this.applyPublication(decoded.value, logged.offset);
  }

  /**
   * Outside a gap a checkpoint changes nothing: the reader has replayed the records before it. It may
   * be stale when its append was delayed.
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
    const result = this.judge(publication);
    const { text, operator, atMs, baseRevision } = publication;
    const { revision, conflicts } = this.inForce;
    if (result === 'accepted') {
      this.inForce = { revision: revision + 1, text, operator, atMs, conflicts };
    }
    if (result === 'conflict') {
      const conflict = { offset, baseRevision, revision, operator, atMs };
      const kept = [...conflicts, conflict].slice(-ConfigurationLimits.conflicts);
      this.inForce = { ...this.inForce, conflicts: kept };
    }
    const after = this.inForce;
    this.options.onPublication?.({
      offset,
      publication,
      result,
      revision: after.revision,
      text: after.text,
      operator: after.operator,
    });
  }

  private judge(
    publication: ConfigurationRecord & { type: 'publication' },
  ): PublicationVerdict['result'] {
    if (publication.baseRevision !== this.inForce.revision) return 'conflict';
    const accepts = this.options.accepts ?? (() => true);
    return accepts(publication.text, this.inForce.text) ? 'accepted' : 'unacceptable';
  }
}
