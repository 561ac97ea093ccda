import { limits } from './limits.js';

/**
 * Returns the age in ms of an unrecorded start up to which further starts are decided. Beyond it the store counts as
 * unavailable, and a start would be too old by the time it is recorded. A slow store that still acknowledges appends
 * in time counts as available: otherwise there would be one planning round for each of its round trips.
 */
export function computeMaxStartAge(lastAppendAgeMs: number): number {
  return lastAppendAgeMs < limits.maxDecisionAgeMs
    ? limits.maxDecisionAgeMs
    : limits.staleProposalMs;
}
