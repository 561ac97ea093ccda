import type { FakeTask } from './fake-task.js';
import { computeFairShares } from './compute-fair-shares.js';
import { percentile } from './percentile.js';
import type { Workload } from './workload.js';

/** Total demand of the waiting tasks of a batch job, and the time since which they wait. */
interface WaitingJob {
  team: string;
  millicores: number;
  memoryMib: number;
  sinceMs: number;
}

/** Shortest wait that counts; shorter ones are normal, because decisions and reports take time. */
const MIN_WAIT_MS = 1_000;

/** Collects the gaps between the dominant shares of teams with waiting work and their fair shares. */
export class FairnessLog {
  static create(workload: Workload): FairnessLog {
    return new FairnessLog(workload);
  }

  private readonly gaps: number[] = [];

  private constructor(private readonly workload: Workload) {}

  /** Adds the gaps at `nowMs` of the teams that have waited for at least `MIN_WAIT_MS`. */
  sample(running: Iterable<FakeTask>, waiting: Iterable<WaitingJob>, nowMs: number): void {
    const { teams, workers } = this.workload;
    const cores = workers.length * 32_000;
    const memory = workers.length * 65_536;
    const used = new Map(teams.map(({ name }) => [name, { cores: 0, memory: 0 }]));
    const demand = new Map(teams.map(({ name }) => [name, { cores: 0, memory: 0 }]));
    const waitingTeams = new Set<string>();
    for (const { arrival, usage } of running) {
      const { team, declared } = arrival.family;
      for (const sums of [used.get(team), demand.get(team)]) {
        if (sums === undefined) continue;
        sums.cores += Math.max(usage.millicores, declared.millicores) / cores;
        sums.memory += Math.max(usage.memoryMib, declared.memoryMib) / memory;
      }
    }
    for (const { team, millicores, memoryMib, sinceMs } of waiting) {
      const sums = demand.get(team);
      if (sums === undefined) continue;
      sums.cores += millicores / cores;
      sums.memory += memoryMib / memory;
      if (nowMs - sinceMs >= MIN_WAIT_MS) waitingTeams.add(team);
    }
    const demands = teams.map(({ name, quotaPerMille }) => ({
      quota: quotaPerMille / 1_000,
      ...(demand.get(name) ?? { cores: 0, memory: 0 }),
    }));
    const fairShares = computeFairShares(demands);
    teams.forEach(({ name }, i) => {
      if (!waitingTeams.has(name)) return;
      const share = Math.max(used.get(name)?.cores ?? 0, used.get(name)?.memory ?? 0);
      this.gaps.push(Math.abs(share - (fairShares[i] ?? 0)) * 100);
    });
  }

  summary() {
    return { fairnessGap: percentile(this.gaps, 1), fairnessGapP99: percentile(this.gaps, 0.99) };
  }
}
