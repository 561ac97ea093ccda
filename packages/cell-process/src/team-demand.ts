import type { Clock } from '@acaciahoist/clock';

/** Time in ms after which a report no longer counts: its process offers help every 300 to 400 ms while it runs. */
const MAX_REPORT_AGE_MS = 2_000;

/** Rates at which the jobs of the teams arrive at each process, as the processes reported them. */
export class TeamDemand {
  static create(clock: Clock): TeamDemand {
    return new TeamDemand(clock);
  }

  private readonly reports = new Map<string, { atMs: number; rates: Map<string, number> }>();

  private constructor(private readonly clock: Clock) {}

  /** Replaces the rates in jobs per second at the process. */
  record(address: string, rates: readonly (readonly [team: string, rate: number])[]): void {
    if (rates.length === 0) this.reports.delete(address);
    else this.reports.set(address, { atMs: this.clock.monotonicMs(), rates: new Map(rates) });
  }

  /** Returns the jobs per second of the team at the process. */
  rateAt(address: string, team: string): number {
    return this.reports.get(address)?.rates.get(team) ?? 0;
  }

  /** Returns the number of processes at which jobs arrive. */
  countProcesses(): number {
    return this.reports.size;
  }

  /** Returns the jobs per second of the team at all processes. */
  totalOf(team: string): number {
    const earliestMs = this.clock.monotonicMs() - MAX_REPORT_AGE_MS;
    let total = 0;
    for (const [address, { atMs, rates }] of this.reports)
      if (atMs < earliestMs) this.reports.delete(address);
      else total += rates.get(team) ?? 0;
    return total;
  }
}
