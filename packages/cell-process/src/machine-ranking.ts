import type { Clock } from '@acaciahoist/clock';

/** A process that was not heard of for this long in ms is not counted. */
const MAX_REPORT_AGE_MS = 3_500;
/** A machine with this many times the processor time is worth a hand-over. */
const OUTRANKED_FACTOR = 1.5;

interface Machine {
  cores: number;
  dataCentre: string;
}

/**
 * Load pattern: a cell of unlike machines. The owner's work grows with the cell and does not fit on the
 * smallest machines, which only need to serve their clients. Knows the processor time of the machines
 * that were heard of.
 */
export class MachineRanking {
  /** `cores`: processor time of the own machine, in cores. */
  static create(clock: Clock, cores: number): MachineRanking {
    return new MachineRanking(clock, cores);
  }

  private readonly machines = new Map<string, Machine & { atMs: number }>();
  private reportedLargest: { cores: number; atMs: number } | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly cores: number,
  ) {}

  /** A process reported itself. */
  addReport(address: string, machine: Machine): void {
    this.machines.set(address, { ...machine, atMs: this.clock.monotonicMs() });
  }

  /** The owner reported the largest machine that it knows. */
  setReportedLargest(cores: number): void {
    this.reportedLargest = { cores, atMs: this.clock.monotonicMs() };
  }

  /** This process owns the cell now: only machines that report themselves to it count. */
  clearReportedLargest(): void {
    this.reportedLargest = undefined;
  }

  /** Processes that reported themselves lately. */
  listRecent(): (Machine & { address: string })[] {
    const oldestMs = this.clock.monotonicMs() - MAX_REPORT_AGE_MS;
    const recent: (Machine & { address: string })[] = [];
    for (const [address, { cores, dataCentre, atMs }] of this.machines) {
      if (atMs < oldestMs) this.machines.delete(address);
      else recent.push({ address, cores, dataCentre });
    }
    return recent;
  }

  /** Cores of the largest machine, the own one included. */
  largestCores(): number {
    let largest = this.cores;
    for (const { cores } of this.listRecent()) largest = Math.max(largest, cores);
    const { reportedLargest } = this;
    if (
      reportedLargest !== undefined &&
      reportedLargest.atMs >= this.clock.monotonicMs() - MAX_REPORT_AGE_MS
    )
      largest = Math.max(largest, reportedLargest.cores);
    return largest;
  }

  /** True when a much larger machine could own the cell. */
  isOutranked(): boolean {
    return this.largestCores() >= this.cores * OUTRANKED_FACTOR;
  }
}
