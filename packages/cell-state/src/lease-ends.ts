import type { CellRecord } from '@acaciahoist/cell-types/cell-record';

/** Maximum number of workers that are kept, the newest ones: several times the workers of a large cell. */
const MAX_WORKERS = 4_096;

/**
 * Cell times in ms at which all leases of workers that an owner does not reach have expired. No owner extends
 * a lease of such a worker until it has recorded that it reaches the worker.
 */
export class LeaseEnds {
  static create(): LeaseEnds {
    return new LeaseEnds();
  }

  private readonly byWorker = new Map<string, number>();
  /**
   * False when records may be missing, for example after the snapshot of an earlier version, which has no
   * lease ends. An owner then records each worker that it reaches, as other replicas may have a lease end.
   */
  isComplete = true;

  get(worker: string): number | undefined {
    return this.byWorker.get(worker);
  }

  has(worker: string): boolean {
    return this.byWorker.has(worker);
  }

  list(): [string, number][] {
    return [...this.byWorker];
  }

  set(worker: string, expireAtMs: number): void {
    // Inserted again, so that the map begins with the worker that was recorded longest ago.
    this.byWorker.delete(worker);
    this.byWorker.set(worker, expireAtMs);
    for (const oldest of this.byWorker.keys()) {
      if (this.byWorker.size <= MAX_WORKERS) break;
      this.byWorker.delete(oldest);
    }
  }

  /** Applies a renewal of the claim in force. */
  applyRenewal({ unreachable, reached }: Extract<CellRecord, { kind: 'renew' }>): void {
    for (const worker of reached ?? []) this.byWorker.delete(worker);
    for (const [worker, expireAtMs] of unreachable ?? []) this.set(worker, expireAtMs);
  }

  /** Applies a claim that takes effect. An owner of an earlier version extends leases without a record. */
  applyClaim({ recordsLeaseEnds }: Extract<CellRecord, { kind: 'claim' }>): void {
    if (recordsLeaseEnds === true) return;
    this.byWorker.clear();
    this.isComplete = true;
  }
}
