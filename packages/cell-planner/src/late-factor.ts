/** A late job keeps some value until this multiple of the time between its due time and its objective has passed. */
export const lateFactor = 3;
