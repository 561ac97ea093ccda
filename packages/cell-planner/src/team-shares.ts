import type { Capacity } from './capacity.js';
import type { PlannedTeam } from './planned-team.js';
import type { PlannedTeams } from './planned-teams.js';
import type { ReadyStep } from './ready-step.js';
import { ShareClass } from './share-class.js';

/**
 * Classes of the teams by their dominant share: the largest of their shares of the processors, memory and accelerators
 * in use. The class is decided at the start of a round. While there is room for all work, all teams have the same
 * class, so that idle room may be borrowed.
 */
export class TeamShares {
  static create(planned: PlannedTeams, steps: readonly ReadyStep[]): TeamShares {
    return new TeamShares(planned, steps);
  }

  private readonly classes = new Map<string, ShareClass>();

  private constructor({ teams, usedByAll, isShort }: PlannedTeams, steps: readonly ReadyStep[]) {
    if (!isShort || teams === undefined) return;
    const waiting = new Set(steps.map(({ team }) => team));
    const shares = teams.map((team) => ({ team, share: computeDominantShare(team, usedByAll) }));
    const isActive = ({ team, share }: (typeof shares)[number]): boolean =>
      share > 0 || waiting.has(team.name);
    const sumWeights = (counted: typeof shares): number =>
      counted.reduce((sum, { team }) => sum + team.weight, 0);
    const allWeights = sumWeights(shares);
    const activeWeights = sumWeights(shares.filter(isActive));
    for (const { team, share } of shares) {
      // A team without a weight has no share that it could be above.
      if (team.weight === 0) continue;
      if (share * allWeights <= team.weight) this.classes.set(team.name, ShareClass.below);
      else if (share * activeWeights > team.weight) this.classes.set(team.name, ShareClass.above);
    }
  }

  classOf(step: ReadyStep): ShareClass {
    return (
      (step.team === undefined ? undefined : this.classes.get(step.team)) ??
      ShareClass.belowAmongActive
    );
  }
}

function computeDominantShare({ used }: PlannedTeam, usedByAll: Capacity): number {
  return Math.max(
    used.millicores / Math.max(1, usedByAll.millicores),
    used.memoryMib / Math.max(1, usedByAll.memoryMib),
    used.accelerators / Math.max(1, usedByAll.accelerators),
  );
}
