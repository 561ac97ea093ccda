/** Data on which the latest decision about a job was based. */
export interface Explanation {
  /** Monotonic time of the decision. */
  atMs: number;
  code:
    | 'queued'
    | 'no-room'
    | 'reserved'
    | 'dependency'
    | 'back-off'
    | 'scheduled'
    | 'armed'
    | 'draining'
    | 'checkpointing'
    | 'placed'
    | 'adopted'
    | 'stopping'
    | 'refused'
    | 'ended';
  /** What the job waits for, where it runs or why it ended. */
  subject: string;
  /** Dominant share and quota of the team at that time, per mille of the capacity. */
  sharePerMille: number;
  quotaPerMille: number;
  /** Monotonic time at which the wait is expected to end, ms; 0 when unknown. */
  untilMs: number;
}
