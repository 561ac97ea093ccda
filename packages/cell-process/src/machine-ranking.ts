import type { Clock } from '@acaciahoist/clock';

/** A report older than this in ms is ignored. */
const MAX_REPORT_AGE_MS = 3_500;
/**
 * A machine outranks another one with at least this many times its cores; a smaller gain is not worth a
 * handover.
 */
const OUTRANKED_FACTOR = 1.5;

/** A report of more cores is ignored; no machine has as many. */
const MAX_CORES = 4_096;

interface Machine {
  cores: number;
  dataCentre: string;
}

/**
 * Keeps the processor capacity of the machines that reported themselves, and compares it with that of this
 * machine. In a cell of unlike machines, the owner's work grows with the cell and exceeds the capacity of the
 * smallest ones, which should only serve their clients.
 */
export class MachineRanking {
  /** `cores`: processor capacity of this machine. */
  static create(clock: Clock, cores: number): MachineRanking {
    return new MachineRanking(clock, cores);
  }

  private readonly machines = new Map<string, Machine & { atMs: number }>();
  private reportedLargest: { cores: number; atMs: number } | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly cores: number,
  ) {}

  /** Records that the process at the address has reported itself. */
  addReport(address: string, machine: Machine): void {
    if (machine.cores > MAX_CORES) return;
    this.machines.set(address, { ...machine, atMs: this.clock.monotonicMs() });
  }

  /** Records the cores of the largest machine, as the owner reports them. */
  setReportedLargestCores(cores: number): void {
    if (cores > MAX_CORES) return;
    this.reportedLargest = { cores, atMs: this.clock.monotonicMs() };
  }

  /**
   * Drops the cores that the predecessor reported; a new owner counts only machines that report themselves to
   * it.
   */
  clearReportedLargestCores(): void {
    this.reportedLargest = undefined;
  }

  /** Returns the processes that have reported themselves within the last `MAX_REPORT_AGE_MS`. */
  listRecent(): (Machine & { address: string })[] {
    const minReportedAtMs = this.clock.monotonicMs() - MAX_REPORT_AGE_MS;
    const recent: (Machine & { address: string })[] = [];
    for (const [address, { cores, dataCentre, atMs }] of this.machines) {
      if (atMs < minReportedAtMs) this.machines.delete(address);
      else recent.push({ address, cores, dataCentre });
    }
    return recent;
  }

  /** Returns the cores of the largest machine, this one included. */
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

  /** True when a machine that is much larger than this one could own the cell. */
  isOutranked(): boolean {
    return this.largestCores() >= this.cores * OUTRANKED_FACTOR;
  }
}
