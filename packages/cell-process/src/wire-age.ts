/**
 * Age in ms of a fact as one process tells it to another. Unknown is null on the wire, which has finite
 * numbers only; processes of the previous version tell none at all.
 */
export const wireAge = {
  encode(ageMs: number): number | null {
    return Number.isFinite(ageMs) ? ageMs : null;
  },

  /** The age at which the fact was told; infinite for unknown. */
  decode(value: number | null | undefined): number {
    return value ?? Number.POSITIVE_INFINITY;
  },
};
