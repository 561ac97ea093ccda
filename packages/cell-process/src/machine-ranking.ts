import type { Clock } from '@acaciahoist/clock';

/** A process that was not heard of for this long in ms is not counted. */
const SILENCE_MS = 3_500;
/** A machine with this many times the processor time is worth a hand-over. */
const WORTHWHILE_FACTOR = 1.5;

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

  private readonly heard = new Map<string, Machine & { atMs: number }>();
  private reported: { cores: number; atMs: number } | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly cores: number,
  ) {}

  /** A process reported itself. */
  heardOf(address: string, machine: Machine): void {
    this.heard.set(address, { ...machine, atMs: this.clock.monotonicMs() });
  }

  /** The owner reported the largest machine that it knows. */
  largestReported(cores: number): void {
    this.reported = { cores, atMs: this.clock.monotonicMs() };
  }

  /** This process owns the cell now: only machines that report themselves to it count. */
  forgetReported(): void {
    this.reported = undefined;
  }

  /** Processes that reported themselves lately. */
  list(): (Machine & { address: string })[] {
    const oldestMs = this.clock.monotonicMs() - SILENCE_MS;
    const found: (Machine & { address: string })[] = [];
    for (const [address, { cores, dataCentre, atMs }] of this.heard) {
      if (atMs < oldestMs) this.heard.delete(address);
      else found.push({ address, cores, dataCentre });
    }
    return found;
  }

  /** Cores of the largest machine, the own one included. */
  largest(): number {
    let largest = this.cores;
    for (const { cores } of this.list()) largest = Math.max(largest, cores);
    const { reported } = this;
    if (reported !== undefined && reported.atMs >= this.clock.monotonicMs() - SILENCE_MS)
      largest = Math.max(largest, reported.cores);
    return largest;
  }

  /** True when a much larger machine could own the cell. */
  isOutranked(): boolean {
    return this.largest() >= this.cores * WORTHWHILE_FACTOR;
  }
}
