import type { CellJob } from '@acaciahoist/cell-types';
import type { Team } from '@acaciahoist/cell-types/team';
import { TeamRate } from '@acaciahoist/cell-types/team-rate';

/**
 * Finds the jobs that arrive faster than `weight` jobs per second of their team. It takes the jobs in the order of the
 * log by the time at which they were received, so that a new owner, which takes the open jobs, finds nearly the same.
 * A team without a weight has no rate.
 */
export class TeamArrivals {
  static create(teams: () => readonly Team[] | undefined): TeamArrivals {
    return new TeamArrivals(teams);
  }

  private readonly rates = new Map<string, TeamRate>();

  private constructor(private readonly teams: () => readonly Team[] | undefined) {}

  /** Counts the arrival of a job; returns whether it is an excess job. Must be called once for each job. */
  addJob({ team, receivedMs }: Pick<CellJob, 'team' | 'receivedMs'>): boolean {
    const weight = this.findWeight(team);
    if (team === undefined || weight === 0) return false;
    let rate = this.rates.get(team);
    if (rate === undefined) this.rates.set(team, (rate = TeamRate.create()));
    return !rate.take(receivedMs, weight);
  }

  /** Returns whether a job that has not arrived would be an excess job. Counts nothing. */
  wouldExceed({ team, receivedMs }: Pick<CellJob, 'team' | 'receivedMs'>): boolean {
    const weight = this.findWeight(team);
    if (team === undefined || weight === 0) return false;
    return this.rates.get(team)?.mayTake(receivedMs, weight) === false;
  }

  /** Weight of a team; 0 for a team without a weight and one that the configuration does not name. */
  private findWeight(team: string | undefined): number {
    return this.teams()?.find(({ name }) => name === team)?.weight ?? 0;
  }
}
