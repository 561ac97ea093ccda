import type Result from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import type { Failure } from '@acaciahoist/errors';
import type { OutcomeRow } from '@acaciahoist/request-router/outcome-row';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';

type CountEntry = Extract<JournalEntry, { type: 'requests-counted' }>;

interface Options {
  clock: Clock;
  identity: ProcessIdentity;
  intervalMs: number;
  /** Returns the counts since the previous call. */
  takeOutcomes: () => OutcomeRow[];
  sendBatch: (entry: CountEntry) => Promise<Result<unknown, Failure>>;
}

/**
 * Sends counts of requests to be recorded in the account. Only one batch is sent at a time, and it is
 * repeated under its sequence number until it is recorded, so that no request is counted twice.
 */
export class RequestCounter {
  static create(options: Options): RequestCounter {
    return new RequestCounter(options);
  }

  private sequence = 0;
  private unrecordedBatch: CountEntry | undefined;
  private addedRows: OutcomeRow[] = [];
  private activeFlush: Promise<void> | undefined;
  private cancelTimer: () => void = () => undefined;

  private constructor(private readonly options: Options) {}

  start(): void {
    this.cancelTimer = this.options.clock.after(this.options.intervalMs, () => {
      void this.flush();
      this.start();
    });
  }

  stop(): void {
    this.cancelTimer();
  }

  /** Adds a count that the router does not report, for example of a refused request with a key. */
  addRow(row: OutcomeRow): void {
    this.addedRows.push(row);
  }

  /** Sends the unrecorded batch, or the counts since the last one. Resolves after the attempt. */
  flush(): Promise<void> {
    this.activeFlush ??= this.sendUnrecordedBatch().finally(() => {
      this.activeFlush = undefined;
    });
    return this.activeFlush;
  }

  private async sendUnrecordedBatch(): Promise<void> {
    this.unrecordedBatch ??= this.createBatch();
    if (this.unrecordedBatch === undefined) return;
    const sent = await this.options.sendBatch(this.unrecordedBatch);
    if (sent.isOk) this.unrecordedBatch = undefined;
  }

  private createBatch(): CountEntry | undefined {
    const rows = mergeRows([...this.options.takeOutcomes(), ...this.addedRows]);
    this.addedRows = [];
    if (rows.length === 0) return undefined;
    this.sequence += 1;
    const { process, incarnation } = this.options.identity;
    const atMs = this.options.clock.wallMs();
    return { type: 'requests-counted', process, incarnation, sequence: this.sequence, rows, atMs };
  }
}

function mergeRows(rows: readonly OutcomeRow[]): OutcomeRow[] {
  const merged = new Map<string, OutcomeRow>();
  for (const row of rows) {
    const rowKey = JSON.stringify([row.user, row.team, row.service, row.outcome]);
    const previous = merged.get(rowKey);
    const count = (previous?.count ?? 0) + row.count;
    merged.set(rowKey, { ...row, count, waitMs: (previous?.waitMs ?? 0) + row.waitMs });
  }
  return [...merged.values()];
}
