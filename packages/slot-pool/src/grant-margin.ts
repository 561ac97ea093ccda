/**
 * Time after the deadline of a grant until its slot is granted again. Covers late messages and timers, but not
 * a holder that is paused for longer.
 */
export const GRANT_MARGIN_MS = 250;
