import { adjustCapacity } from '@acaciahoist/cell-planner/adjust-capacity';
import type { Capacity } from '@acaciahoist/cell-planner/capacity';

/** What runs or decided starts count against the quotas and shares of their teams, updated with each change. */
export class TeamUsage {
  static create(): TeamUsage {
    return new TeamUsage();
  }

  /** Sums by team; the key of runs without a team is undefined. */
  private readonly byTeam = new Map<string | undefined, { used: Capacity; runs: number }>();

  add(team: string | undefined, charge: Capacity): void {
    let usage = this.byTeam.get(team);
    if (usage === undefined) {
      usage = { used: { millicores: 0, memoryMib: 0, accelerators: 0 }, runs: 0 };
      this.byTeam.set(team, usage);
    }
    adjustCapacity(usage.used, charge, 1);
    usage.runs += 1;
  }

  /** Removes a run that was added with the same team and charge. */
  remove(team: string | undefined, charge: Capacity): void {
    const usage = this.byTeam.get(team);
    if (usage === undefined) return;
    adjustCapacity(usage.used, charge, -1);
    usage.runs -= 1;
    // Rounding errors of fractional demands must not add up over the life of the owner.
    if (usage.runs === 0) this.byTeam.delete(team);
  }

  /** Adds what the team uses to `capacity`. */
  addTo(capacity: Capacity, team: string): void {
    const usage = this.byTeam.get(team);
    if (usage !== undefined) adjustCapacity(capacity, usage.used, 1);
  }

  /** Adds what all runs use to `capacity`, also those without a team. */
  addAllTo(capacity: Capacity): void {
    for (const { used } of this.byTeam.values()) adjustCapacity(capacity, used, 1);
  }
}
