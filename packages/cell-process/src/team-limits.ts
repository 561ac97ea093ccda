import type { Clock } from '@acaciahoist/clock';
import { Instant } from '@acaciahoist/clock/instant';
import type { TeamLimit } from '@acaciahoist/cell-front/team-limit';
import type { TeamBacklog } from '@acaciahoist/cell-owner/team-backlog';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import { TeamDemand } from './team-demand.js';
import { wireAge } from './wire-age.js';

type Offer = PeerCallMap['offer-help']['request'];
type Limits = Pick<PeerCallMap['offer-help']['reply'], 'teamLimits'>;
type Arrivals = NonNullable<Offer['teamArrivals']>;

interface Options {
  clock: Clock;
  ownAddress: string;
  /** Rates at which the jobs of the teams arrive at this process. */
  listArrivals: () => Arrivals;
  /** What the owner knows of the teams while room is short; undefined when it is not, and in other processes. */
  findBacklog: () => TeamBacklog | undefined;
}

/** Maximum age in ms of the information by which a front refuses jobs. */
const MAX_AGE_MS = 2_000;

/**
 * Limits on the new jobs of teams that submit faster than their weight in jobs per second while room is short. The
 * owner divides the rate of a team among the fronts by the rates at which the jobs arrive at each, and tells each its
 * part in the reply to an offer of help.
 */
export class TeamLimits {
  static create(options: Options): TeamLimits {
    return new TeamLimits(options);
  }

  private readonly demand: TeamDemand;
  private limits = new Map<string, TeamLimit>();
  /** Time as of which `limits` is true. */
  private limitsAsOf: Instant;

  private constructor(private readonly options: Options) {
    this.demand = TeamDemand.create(options.clock);
    this.limitsAsOf = Instant.create(options.clock, Number.POSITIVE_INFINITY);
  }

  /** Rates at which the jobs of the teams arrive at this process, for its offers of help. */
  listArrivals(): Arrivals {
    return this.options.listArrivals();
  }

  /** Records the arrivals of an offer; returns the field of the reply that holds the limits for its sender, if any. */
  answerOffer({ address, teamArrivals }: Pick<Offer, 'address' | 'teamArrivals'>): Limits {
    this.demand.record(address, teamArrivals ?? []);
    const backlog = this.options.findBacklog();
    if (backlog === undefined) return {};
    const teams = backlog.teams
      .map(({ name }) => [name, this.computeLimit(backlog, name, address)] as const)
      .flatMap(([name, limit]) =>
        limit === undefined ? [] : [[name, limit.jobsPerSecond, limit.waitMs] as const],
      );
    return teams.length === 0
      ? {}
      : { teamLimits: { ageMs: wireAge.encode(backlog.ageMs), teams } };
  }

  /** Replaces the limits by those in a reply of the owner to an offer sent at `sentAt`. */
  applyReply({ teamLimits }: Limits, sentAt: Instant): void {
    const ageMs = wireAge.decode(teamLimits?.ageMs) + sentAt.ageMs();
    this.limitsAsOf = Instant.create(this.options.clock, ageMs);
    this.limits = new Map(
      (teamLimits?.teams ?? []).map(([name, jobsPerSecond, waitMs]) => [
        name,
        { jobsPerSecond, waitMs },
      ]),
    );
  }

  /** Returns the limit on the new jobs of a team here; undefined when there is none or no current information. */
  find(team: string): TeamLimit | undefined {
    const backlog = this.options.findBacklog();
    if (backlog === undefined)
      return this.limitsAsOf.ageMs() <= MAX_AGE_MS ? this.limits.get(team) : undefined;
    this.demand.record(this.options.ownAddress, this.options.listArrivals());
    return backlog.ageMs <= MAX_AGE_MS
      ? this.computeLimit(backlog, team, this.options.ownAddress)
      : undefined;
  }

  private computeLimit(backlog: TeamBacklog, name: string, address: string): TeamLimit | undefined {
    const team = backlog.teams.find((candidate) => candidate.name === name);
    const total = this.demand.totalOf(name);
    if (team === undefined || team.weight === 0 || total <= team.weight) return undefined;
    // A process that has reported no job yet may get the first ones before its next report.
    const rate = this.demand.rateAt(address, name) || total / (this.demand.countProcesses() + 1);
    return { jobsPerSecond: (team.weight * rate) / total, waitMs: team.waitMs };
  }
}
