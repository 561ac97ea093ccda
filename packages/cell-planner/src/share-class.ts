/** How a team stands to its share; the room goes to the lower classes first. */
export const ShareClass = {
  /** Below the share that its weight gives it among all teams. */
  below: 0,
  /** Below its share among the teams that have work at present; also a step without a team. */
  belowAmongActive: 1,
  above: 2,
} as const;

export type ShareClass = (typeof ShareClass)[keyof typeof ShareClass];
