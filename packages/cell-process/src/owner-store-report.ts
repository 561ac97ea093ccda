import type { Instant } from '@acaciahoist/clock/instant';

interface Report {
  /** Time in ms that an append to the cell log takes; undefined from a process of the previous version. */
  appendTimeMs: number | undefined;
  /** Time in ms since a response of the store to the owner became overdue. */
  storeSilentMs: number;
}

/** Time in ms for which a report of the owner is used; one arrives every 300 to 400 ms. */
const MAX_REPORT_AGE_MS = 900;
/** A store that answers, however late, does so at least this often in ms. */
const MAX_SILENT_MS = 600;

/** What the owner last reported about its appends to the store. */
export class OwnerStoreReport {
  static create(): OwnerStoreReport {
    return new OwnerStoreReport();
  }

  private report: (Report & { asOf: Instant }) | undefined;

  /** Records a report; `asOf` is the time at which it was requested. */
  record(report: Report, asOf: Instant): void {
    this.report = { ...report, asOf };
  }

  /** Time in ms that an append of the owner takes; undefined when the store does not answer it, or not known. */
  appendTimeMs(): number | undefined {
    const { report } = this;
    if (report === undefined || report.asOf.ageMs() > MAX_REPORT_AGE_MS) return undefined;
    return report.storeSilentMs < MAX_SILENT_MS ? report.appendTimeMs : undefined;
  }
}
