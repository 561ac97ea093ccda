/**
 * Encodes and decodes the age in ms of a value that one process sends to another. Messages have finite
 * numbers only, so an unknown age is null; processes of the previous version send no age.
 */
export const wireAge = {
  encode(ageMs: number): number | null {
    return Number.isFinite(ageMs) ? ageMs : null;
  },

  /** Age of the value when it was sent; infinite when it is unknown. */
  decode(value: number | null | undefined): number {
    return value ?? Number.POSITIVE_INFINITY;
  },
};
