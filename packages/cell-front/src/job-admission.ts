import type { Clock } from '@acaciahoist/clock';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import { computeObjectiveMs } from '@acaciahoist/cell-owner/compute-objective';
import { lateFactor } from '@acaciahoist/cell-planner/late-factor';
import type { CellJob } from '@acaciahoist/cell-types';
import type { Team } from '@acaciahoist/cell-types/team';
import { TeamRate } from '@acaciahoist/cell-types/team-rate';
import { ArrivalRates } from './arrival-rates.js';
import { findGangBeyondQuota } from './find-gang-beyond-quota.js';
import type { OpenWork } from './open-work.js';
import type { Refusal } from './refusal.js';
import type { TeamLimit } from './team-limit.js';

interface Options {
  clock: Clock;
  openWork: Pick<OpenWork, 'hasRoomFor'>;
  /** Teams of the configuration in force. */
  teams: () => readonly Team[];
  /** Limit on the new jobs of a team; undefined when there is none or no current information. */
  findTeamLimit: (team: string) => TeamLimit | undefined;
  /** Called when a job is beyond the limit on its team. */
  onBeyondRate: (team: string, limit: TeamLimit) => void;
}

/**
 * Seconds after which a client may repeat a job that no quota permits: only a new configuration can change the
 * answer.
 */
const QUOTA_RETRY_AFTER_S = 60;

/** Decides whether a front accepts a new job. */
export class JobAdmission {
  static create(options: Options): JobAdmission {
    return new JobAdmission(options);
  }

  private readonly arrivals: ArrivalRates;
  private readonly rates = new Map<string, TeamRate>();

  private constructor(private readonly options: Options) {
    this.arrivals = ArrivalRates.create(options.clock);
  }

  /** Lists the teams of the submissions to this process, and their jobs per second. */
  listArrivals(): ReturnType<ArrivalRates['list']> {
    return this.arrivals.list();
  }

  /** Returns why a job that is not known here must be refused; undefined when it may be accepted. */
  findRefusal(job: CellJob): Refusal | undefined {
    const team = this.findTeam(job);
    const refusal = this.findLastingRefusal(job, team);
    if (refusal !== undefined || team === undefined) return refusal;
    this.arrivals.add(team.name);
    const limit = this.options.findTeamLimit(team.name);
    if (limit === undefined) return undefined;
    let rate = this.rates.get(team.name);
    if (rate === undefined) this.rates.set(team.name, (rate = TeamRate.create()));
    if (rate.take(this.options.clock.monotonicMs(), limit.jobsPerSecond)) return undefined;
    if (canWait(job, limit)) return undefined;
    this.options.onBeyondRate(team.name, limit);
    return createRateRefusal(job, team.name, limit);
  }

  /** Returns why a job would be refused now, without counting it as an arrival or a refusal. */
  previewRefusal(job: CellJob): Refusal | undefined {
    const team = this.findTeam(job);
    const refusal = this.findLastingRefusal(job, team);
    if (refusal !== undefined || team === undefined) return refusal;
    const limit = this.options.findTeamLimit(team.name);
    if (limit === undefined) return undefined;
    const nowMs = this.options.clock.monotonicMs();
    return this.rates.get(team.name)?.mayTake(nowMs, limit.jobsPerSecond) === false &&
      !canWait(job, limit)
      ? createRateRefusal(job, team.name, limit)
      : undefined;
  }

  private findTeam(job: CellJob): Team | undefined {
    return this.options.teams().find(({ name }) => name === job.team);
  }

  /** Returns why a job is refused whatever the rate of its team is. */
  private findLastingRefusal(job: CellJob, team: Team | undefined): Refusal | undefined {
    if (!this.options.openWork.hasRoomFor(job))
      return {
        reason: 'no-room',
        failure: Failure.create(
          ErrorKind.overloaded,
          `job ${job.id} was not accepted: the jobs that have not ended take all memory set aside for them`,
        ),
      };
    const gang = team && findGangBeyondQuota(job, team);
    if (gang === undefined) return undefined;
    return {
      reason: 'gang-beyond-quota',
      failure: Failure.create(
        ErrorKind.quotaExceeded,
        `job ${job.id} was not accepted, because it could never run: ${gang}`,
        { retryAfterS: QUOTA_RETRY_AFTER_S },
      ),
    };
  }
}

/**
 * Returns whether a job beyond the rate of its team can wait and still be of use. It is accepted, because a front does
 * not know the order of the arrivals at all fronts; the owner does, and starts the job behind the work of other teams.
 */
function canWait(job: CellJob, limit: TeamLimit): boolean {
  return limit.waitMs < lateFactor * computeObjectiveMs(job);
}

function createRateRefusal(job: CellJob, team: string, limit: TeamLimit): Refusal {
  return {
    reason: 'team-beyond-rate',
    failure: Failure.create(
      ErrorKind.quotaExceeded,
      `job ${job.id} was not accepted: team ${team} submits faster than its share permits while room is short, and the job would wait about ${Math.ceil(limit.waitMs / 1_000)} s`,
      { retryAfterS: spreadRetryAfterS(job.id, limit.waitMs) },
    ),
  };
}

/** Returns seconds between half and one and a half of the wait, so that clients do not come back together. */
function spreadRetryAfterS(id: string, waitMs: number): number {
  const position = parseInt(id.slice(-4), 16) / 0xffff;
  return Math.max(1, Math.round((waitMs / 1_000) * (0.5 + position)));
}
