/** Limits on the records of a journal and on the state in a snapshot. */
export const JournalLimits = {
  /**
   * Largest encoded record. A snapshot of a state that reaches all other limits below is smaller.
   */
  recordBytes: 32 * 1024 * 1024,
  /** Largest number of entries in one commit. */
  commitEntries: 10_000,
  /** Largest body of a recorded reply; of a larger body only the digest is kept. */
  replyBytes: 64 * 1024,
  /**
   * Largest sum of the recorded bodies; above it the oldest bodies are dropped and their digests
   * kept.
   */
  allReplyBytes: 4 * 1024 * 1024,
  /**
   * Time for which a key is kept after its outcome. A claimed key without an outcome is never
   * pruned.
   */
  keyLifetimeMs: 24 * 3_600_000,
  /**
   * Time for which a delegated job key is kept with its partition. It is longer than a job may
   * take, because a repeated submission must reach the same partition.
   */
  delegatedJobKeyLifetimeMs: 30 * 24 * 3_600_000,
  /**
   * At this number of delegated job keys the owner delegates no more. Each takes 100 bytes in a
   * snapshot.
   */
  delegatedJobKeys: 50_000,
  /** Time for which an ended job is kept. */
  endedJobLifetimeMs: 24 * 3_600_000,
  /**
   * Largest number of ended jobs without a key. Jobs with a key are kept for the whole time, as
   * their keys are.
   */
  endedJobs: 5_000,
  /**
   * Largest number of ended tasks kept for a job that has not ended; the counts per group cover the
   * others.
   */
  endedTasksPerJob: 64,
  /** Largest number of ended tasks kept for an ended job. */
  tasksPerEndedJob: 8,
  /**
   * Time for which the sequence number of the last request count of a process incarnation is kept.
   */
  requestCountLifetimeMs: 24 * 3_600_000,
  /** Largest number of process incarnations whose last sequence number is kept. */
  requestCountIncarnations: 4_096,
  /**
   * Largest number of items of each kind pruned per entry. Above 1, so that a backlog shrinks as
   * entries are applied.
   */
  prunedPerEntry: 4,
  /**
   * Largest number of former owners that are kept. Their last sequence number shows whether their
   * last batch was applied, and each may act until its hold time is over. 64 failovers within a
   * hold time of one hour are more than one a minute.
   */
  formerOwners: 64,
} as const;
