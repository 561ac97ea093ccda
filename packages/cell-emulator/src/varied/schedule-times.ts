/** Times of a varied schedule in ms from its start. */
export const scheduleTimes = {
  /** Submissions and faults begin before this time; the faults end at most 6 s later. */
  loadEndMs: 10_000,
  /** After the longest wait for leases (14.6 s) that a fault may cause. Checks of delays begin here. */
  calmMs: 32_000,
  /** The schedule ends once all jobs that can end have ended, not before this time. */
  endMs: 64_000,
  /** A cell that lost a worker beside tasks that do not end may have work for this time. */
  maxEndMs: 184_000,
} as const;
