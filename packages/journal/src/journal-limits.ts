/** Bounds of a journal and of the state that a snapshot carries. */
export const JournalLimits = {
  /** Largest encoded record. A snapshot at every other bound of this table stays below it. */
  recordBytes: 32 * 1024 * 1024,
  /** Most entries of one commit. */
  commitEntries: 10_000,
  /** Largest body of a recorded reply; larger bodies keep only their digest. */
  replyBytes: 64 * 1024,
  /** Sum of the recorded bodies; beyond it the oldest bodies are dropped, their digests are kept. */
  allReplyBytes: 4 * 1024 * 1024,
  /** Time for which a key with a recorded outcome is kept. A claimed key without one is never pruned. */
  keyLifetimeMs: 24 * 3_600_000,
  /**
   * Time for which the partition that took a job key over is remembered. Longer than a job may take,
   * because a repeated submission must find the same partition.
   */
  delegatedJobKeyMs: 30 * 24 * 3_600_000,
  /** Most delegated job keys; beyond it the owner delegates no more. 100 bytes each in a snapshot. */
  delegatedJobKeys: 50_000,
  /** Time for which an ended job is kept. */
  endedJobMs: 24 * 3_600_000,
  /** Most ended jobs without a key; jobs with a key are kept for the whole time, as the key must be. */
  endedJobs: 5_000,
  /** Most ended tasks kept for a job that has not ended; counts per group cover the rest. */
  endedTasksPerJob: 64,
  /** Most ended tasks kept for an ended job. */
  tasksPerEndedJob: 8,
  /** Time for which the last request-count sequence of a process incarnation is kept. */
  countedMs: 24 * 3_600_000,
  /** Most process incarnations with a request-count sequence. */
  countedProcesses: 4_096,
  /** Items of each kind pruned per entry. More than one, so that a backlog shrinks while entries arrive. */
  prunedPerEntry: 4,
  /**
   * Former owners that are remembered: their last sequence number tells what became of their last
   * batch, and each may act until its hold time is over. 64 failovers in one hold time of an hour are
   * more than one a minute.
   */
  formerOwners: 64,
} as const;
