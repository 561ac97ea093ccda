/**
 * Encodes and decodes the age in ms of a value that one process sends to another. Messages hold only finite
 * numbers, so that an unknown age is null; processes of an earlier version send no age.
 */
export const wireAge = {
  /** Returns the age as a message holds it; null for an infinite one. */
  encode(ageMs: number): number | null {
    return Number.isFinite(ageMs) ? ageMs : null;
  },

  /** Returns the age of the value when it was sent; infinite when it is unknown. */
  decode(value: number | null | undefined): number {
    return value ?? Number.POSITIVE_INFINITY;
  },
};
