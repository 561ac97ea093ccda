import type { WorkerReport } from '@acaciahoist/types/worker-report';
import type { FakeCell } from './fake-cell.js';
import type { Random } from '@acaciahoist/random';

/** A report with the time of its arrival at the scheduler. */
interface Delivery {
  atMs: number;
  address: string;
  report: WorkerReport;
}

const REPORT_INTERVAL_MS = 5_000;
const LATE_SHARE = 0.03;
const REPEATED_SHARE = 0.05;

/** Delivers the reports of the fake workers, some of them late, repeated or out of order. */
export class UnreliableReports {
  static create(cell: FakeCell, random: Random): UnreliableReports {
    return new UnreliableReports(cell, random);
  }

  private pending: Delivery[] = [];

  private constructor(
    private readonly cell: FakeCell,
    private readonly random: Random,
  ) {}

  /** Returns the reports that arrive in this tick. */
  takeDue(nowMs: number, tickMs: number): Delivery[] {
    const due = this.pending.filter(({ atMs }) => atMs <= nowMs);
    this.pending = this.pending.filter(({ atMs }) => atMs > nowMs);
    const ticks = Math.round(REPORT_INTERVAL_MS / tickMs);
    const phase = Math.round(nowMs / tickMs) % ticks;
    let index = 0;
    for (const worker of this.cell.workers.values()) {
      index += 1;
      if (!worker.isRunning || index % ticks !== phase) continue;
      const delivery = {
        atMs: nowMs,
        address: worker.address,
        report: this.cell.createReport(worker),
      };
      if (this.random.next() < LATE_SHARE) {
        this.pending.push({ ...delivery, atMs: nowMs + REPORT_INTERVAL_MS + 2 * tickMs });
        continue;
      }
      due.push(delivery);
      if (this.random.next() < REPEATED_SHARE) due.push(delivery);
    }
    return due;
  }
}
