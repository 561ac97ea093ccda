/** Quota of one team and its demand, as parts of the cell. */
interface TeamDemand {
  quota: number;
  cores: number;
  memory: number;
}

const BISECTION_STEPS = 40;

function dominantShare(team: TeamDemand): number {
  return Math.max(team.cores, team.memory);
}

/** Part of its demand that a team gets when its dominant share may reach `level` times its quota. */
function grantedPart(team: TeamDemand, level: number): number {
  const share = dominantShare(team);
  return share === 0 ? 0 : Math.min(1, (level * team.quota) / share);
}

/**
 * Computes the fair dominant share of each team by weighted dominant resource fairness: all shares grow
 * in proportion to the quotas until a team has its whole demand or a resource is used up.
 */
export function computeFairShares(teams: readonly TeamDemand[]): number[] {
  let low = 0;
  let high = Math.max(1, ...teams.map((team) => dominantShare(team) / Math.max(1e-9, team.quota)));
  const fits = (level: number) => {
    let cores = 0;
    let memory = 0;
    for (const team of teams) {
      cores += team.cores * grantedPart(team, level);
      memory += team.memory * grantedPart(team, level);
    }
    return cores <= 1 && memory <= 1;
  };
  if (fits(high)) return teams.map(dominantShare);
  for (let i = 0; i < BISECTION_STEPS; i += 1) {
    const middle = (low + high) / 2;
    if (fits(middle)) low = middle;
    else high = middle;
  }
  return teams.map((team) => dominantShare(team) * grantedPart(team, low));
}
