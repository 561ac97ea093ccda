/** Used as the previous digest of the first closed period of a partition. */
export const firstDigest = '0'.repeat(64);
