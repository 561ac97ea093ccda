/**
 * Age in ms of a fact as one process tells it to another. Unknown is null on the wire, which has finite
 * numbers only; processes of the previous version tell none at all.
 */
export const toldAge = {
  write(ageMs: number): number | null {
    return Number.isFinite(ageMs) ? ageMs : null;
  },

  /** The age at which the fact was told; infinite for unknown. */
  read(told: number | null | undefined): number {
    return told ?? Number.POSITIVE_INFINITY;
  },
};
