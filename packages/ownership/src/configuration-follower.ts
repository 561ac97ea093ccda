import { err, type Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import { Configuration } from '@acaciahoist/configuration';
import type { CurrentConfiguration } from '@acaciahoist/configuration/current-configuration';
import { encodeConfigurationRecord } from '@acaciahoist/configuration/encode-configuration-record';
import { StreamReader } from '@acaciahoist/group-commit/stream-reader';
import { CheckpointSchedule } from './checkpoint-schedule.js';
import type { ConfigurationFollowerOptions } from './configuration-follower-options.js';
import { StreamFollower } from './stream-follower.js';
import { PublicationAttempt } from './publication-attempt.js';
import type { AppliedConfiguration } from './applied-configuration.js';

/** How many times within the retention time the follower checks whether a checkpoint is due. */
const CHECKS_PER_RETENTION = 60;

/** Limit on the publications of one process that wait for the log at the same time. */
const MAX_CONCURRENT_PUBLICATIONS = 16;

/**
 * Follows the stream `configuration`, publishes to it and appends checkpoints, so that the
 * configuration in force stays in the stream beyond the retention time.
 */
export class ConfigurationFollower {
  static create(options: ConfigurationFollowerOptions): ConfigurationFollower {
    return new ConfigurationFollower(options);
  }

  private readonly configuration: Configuration;
  private readonly reader: StreamReader;
  private readonly follower: StreamFollower;
  private readonly checkpointSchedule: CheckpointSchedule;
  private readonly attempts = new Set<PublicationAttempt>();
  private readonly listeners = new Set<(configuration: AppliedConfiguration) => void>();
  private applied: AppliedConfiguration;
  private cancelCheck: (() => void) | undefined;
  private isClosed = false;

  private constructor(private readonly options: ConfigurationFollowerOptions) {
    const { clock, log, retentionMs, accepts, jitterFraction } = options;
    this.configuration = Configuration.create({
      ...(accepts && { accepts }),
      onPublication: (verdict) => {
        for (const attempt of this.attempts) attempt.observe(verdict);
      },
    });
    this.applied = { ...this.configuration.current(), source: 'none' };
    this.reader = StreamReader.create(log, {
      nextOffset: () => this.configuration.nextOffset(),
      hasState: () => this.configuration.hasState(),
      applyPage: (page) => {
        this.configuration.applyPage(page);
        this.adoptReplayedConfiguration();
      },
    });
    this.follower = StreamFollower.create(clock, this.reader, () => false);
    this.checkpointSchedule = CheckpointSchedule.create(
      clock,
      this.configuration,
      retentionMs,
      jitterFraction,
    );
  }

  /** Reads the stream to its end and keeps reading. Resolves after the first read to the end. */
  follow(): Promise<Result<void, Failure>> {
    this.scheduleCheckpointCheck();
    return this.follower.start();
  }

  /** The configuration in force in this process. */
  current(): AppliedConfiguration {
    return this.applied;
  }

  /**
   * Publishes a text that replaces the base revision. Resolves with the new revision. Fails with
   * `revision-conflict` (details: `revision`, `operator`, `text` in force, `ownText`),
   * `bad-declaration`, `log-unavailable` (not published), `overloaded` (not published) or
   * `append-unknown` (it may still be accepted).
   */
  async publish(
    baseRevision: number,
    text: string,
    operator: string,
  ): Promise<Result<number, Failure>> {
    const { clock, log, accepts } = this.options;
    if (this.attempts.size >= MAX_CONCURRENT_PUBLICATIONS) {
      return err(
        Failure.create(
          'overloaded',
          `${this.attempts.size} publications already wait for the log.`,
        ),
      );
    }
    if (accepts && !accepts(text, this.applied.text)) {
      const message = 'The declaration cannot be parsed or changes a part that must stay the same.';
      return err(Failure.create('bad-declaration', message));
    }
    const attempt = PublicationAttempt.create({
      publication: { type: 'publication', baseRevision, text, operator, atMs: clock.wallMs() },
      clock,
      log,
      reader: this.reader,
      configuration: this.configuration,
      appendTimeoutMs: this.appendTimeoutMs(),
    });
    this.attempts.add(attempt);
    const published = await attempt.run();
    this.attempts.delete(attempt);
    return published;
  }

  /**
   * Applies the configuration of a peer when its revision is higher than the applied one. A process that
   * starts while the log is unavailable has no other source.
   */
  adoptPeer(configuration: Omit<CurrentConfiguration, 'conflicts'>): void {
    if (configuration.revision <= this.applied.revision) return;
    const { conflicts } = this.applied;
    this.applyConfiguration({ ...configuration, conflicts, source: 'peer' });
  }

  /** Calls the listener after each new revision. Returns a function that removes the listener. */
  onChange(listener: (configuration: AppliedConfiguration) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Stops reading and appending checkpoints. */
  close(): void {
    this.isClosed = true;
    this.follower.stop();
    this.cancelCheck?.();
  }

  /**
   * Applies the replayed configuration unless its revision is lower than the applied one: replay may be
   * behind the revision of a peer, or start again at an older checkpoint.
   */
  private adoptReplayedConfiguration(): void {
    const current = this.configuration.current();
    const { revision, source } = this.applied;
    if (current.revision < revision || current.revision === 0) return;
    const next: AppliedConfiguration = { ...current, source: 'stream' };
    if (current.revision > revision) this.applyConfiguration(next);
    else if (source !== 'stream' || current.conflicts !== this.applied.conflicts) {
      this.applied = next;
    }
  }

  private applyConfiguration(next: AppliedConfiguration): void {
    this.applied = next;
    for (const listener of this.listeners) listener(next);
  }

  private scheduleCheckpointCheck(): void {
    this.cancelCheck?.();
    const delayMs = this.options.retentionMs / CHECKS_PER_RETENTION;
    this.cancelCheck = this.options.clock.after(delayMs, () => {
      void this.appendDueCheckpoint();
    });
  }

  /**
   * Appends a checkpoint when one is due. An append whose result is unknown is not repeated here, because
   * the next check reads whether the checkpoint is in the stream.
   */
  private async appendDueCheckpoint(): Promise<void> {
    if (this.checkpointSchedule.isDue()) {
      const read = await this.reader.readToEnd();
      const encoded = encodeConfigurationRecord(this.configuration.checkpoint());
      if (read.isOk && encoded.isOk) {
        await this.options.log.append(encoded.value, this.appendTimeoutMs());
      }
    }
    if (!this.isClosed) this.scheduleCheckpointCheck();
  }

  private appendTimeoutMs(): number {
    return this.options.appendTimeoutMs ?? 2_000;
  }
}
