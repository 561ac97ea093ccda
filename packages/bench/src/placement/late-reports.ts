import type { WorkerReport } from '@acaciahoist/types/worker-report';
import type { FakeCell } from './fake-cell.js';
import type { Random } from '@acaciahoist/random';

interface Delivery {
  atMs: number;
  address: string;
  report: WorkerReport;
}

const EVERY_MS = 5_000;
const LATE_PART = 0.03;
const REPEATED_PART = 0.05;

/** Reports of the fake workers, some of them late, repeated or out of order. */
export class LateReports {
  static create(cell: FakeCell, random: Random): LateReports {
    return new LateReports(cell, random);
  }

  private pending: Delivery[] = [];

  private constructor(
    private readonly cell: FakeCell,
    private readonly random: Random,
  ) {}

  /** Reports that arrive in this tick. */
  next(nowMs: number, tickMs: number): Delivery[] {
    const due = this.pending.filter(({ atMs }) => atMs <= nowMs);
    this.pending = this.pending.filter(({ atMs }) => atMs > nowMs);
    const ticks = Math.round(EVERY_MS / tickMs);
    const phase = Math.round(nowMs / tickMs) % ticks;
    let index = 0;
    for (const worker of this.cell.workers.values()) {
      index += 1;
      if (!worker.alive || index % ticks !== phase) continue;
      const delivery = { atMs: nowMs, address: worker.address, report: this.cell.report(worker) };
      if (this.random.next() < LATE_PART) {
        this.pending.push({ ...delivery, atMs: nowMs + EVERY_MS + 2 * tickMs });
        continue;
      }
      due.push(delivery);
      if (this.random.next() < REPEATED_PART) due.push(delivery);
    }
    return due;
  }
}
