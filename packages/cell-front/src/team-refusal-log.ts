import type { Clock } from '@acaciahoist/clock';
import type { EventLog } from '@acaciahoist/types/event-log';
import type { TeamLimit } from './team-limit.js';

interface Options {
  clock: Clock;
  log: EventLog;
  /** Increases the counter of this name in the metrics. */
  count: (name: string, by?: number) => void;
}

/** Interval in ms of the log lines of one team. */
const LOG_INTERVAL_MS = 1_000;

/** Logs and counts the jobs that are refused because their team submits too fast; one line for each team and second. */
export class TeamRefusalLog {
  static create(options: Options): TeamRefusalLog {
    return new TeamRefusalLog(options);
  }

  /** Number of refused jobs that no line shows yet, by team. */
  private readonly refusedJobs = new Map<string, number>();

  private constructor(private readonly options: Options) {}

  add(team: string, { jobsPerSecond, waitMs }: TeamLimit): void {
    const { clock, log, count } = this.options;
    // Names of counters consist of these characters.
    count(`jobs_refused_team_${team.replaceAll(/\W/g, '_')}_total`);
    const refused = this.refusedJobs.get(team);
    this.refusedJobs.set(team, (refused ?? 0) + 1);
    if (refused !== undefined) return;
    clock.after(LOG_INTERVAL_MS, () => {
      log('warn', 'team-refused', {
        team,
        refused: this.refusedJobs.get(team) ?? 0,
        permittedPerS: Number(jobsPerSecond.toFixed(2)),
        waitMs: Math.round(waitMs),
      });
      this.refusedJobs.delete(team);
    });
  }
}
