/** Time limits and related settings of the owner, with the reason for each. */
export const limits = {
  /**
   * Duration of a lease in ms: outlasts a network interruption of 6 s and the 2 s until the next hold call.
   */
  leaseMs: 8_000,
  /** The owner extends no leases when its newest acknowledged append is older than this. */
  maxAppendAgeForLeaseMs: 6_000,
  /**
   * The owner sends no stop orders when its newest acknowledged append is older than this. An owner that
   * does not answer is replaced after 1 s. Even slow responses of the store arrive within 400 ms, so the
   * newest acknowledged append is always younger than 1 s while the store is available.
   */
  maxAppendAgeForStopMs: 1_500,
  /**
   * A worker with runs must be silent for this time before its lease end is recorded. After that, its next
   * lease takes one more append: an interruption of 6 s leaves about 1 s of a lease for it.
   */
  leaseEndRecordDelayMs: 1_000,
  /** Fraction by which the monotonic clock of a worker may run slow. */
  clockDrift: 0.02,
  /** Margin that is added to every bound that depends on another machine's clock. */
  clockMarginMs: 300,
  /**
   * Maximum time for which a worker waits for a run end before it replies to a hold call. An idle worker is
   * therefore called once a second.
   */
  holdWaitMs: 1_000,
  /** Replaces `holdWaitMs` while the process is busy, to save calls; the platform allows at most 2 s. */
  busyHoldWaitMs: 2_000,
  /** A process whose event-loop delay exceeds this is busy. */
  busyLoopDelayMs: 15,
  /** Pause after a hold call that returned run ends, so that the next call returns several of them. */
  holdGapMs: 80,
  /** `holdGapMs` is extended by this multiple of the event-loop delay. */
  holdDelayFactor: 2,
  /** Number of workers to which a new owner connects at a time. */
  connectBatchSize: 16,
  /** Pause before a new owner connects to the next batch of workers. */
  connectBatchGapMs: 2,
  /** Workers that appear within this time after a process became owner are logged in one line. */
  workerDiscoveryMs: 500,
  /** Pause after a hold call that failed. */
  holdRetryMs: 150,
  /**
   * A worker gets no starts when its reply to a hold call is still missing this long after the wait of the
   * call.
   */
  maxHoldReplyDelayMs: 500,
  /** A worker that refused a start as unhealthy gets no starts for this time. */
  unhealthyPauseMs: 1_000,
  /**
   * Minimum time without progress on a worker that answers after which a run counts as stalled; longer where one
   * percent takes longer.
   */
  stallMs: 2_500,
  /** Replaces `stallMs` for a gang, whose members make no progress while they wait for each other. */
  gangStallMs: 5_500,
  /**
   * Share of the work in percent that must be done before the speed of a run is computed from its
   * progress.
   */
  minSpeedPercent: 20,
  /**
   * A run that can resume from a checkpoint is stopped this long before its worker leaves: a stop takes up
   * to 400 ms.
   */
  leaveMarginMs: 900,
  /**
   * A new owner stops no long-running task by its own choice for this time: the former owner may have sent stops
   * for up to `maxAppendAgeForStopMs`, a stop takes up to 400 ms, and the next list of runs up to `holdWaitMs`.
   */
  takeoverStopPauseMs: 3_000,
  /** Minimum time between two stop orders for the same run. */
  stopRepeatIntervalMs: 300,
  /** Minimum time between two planning rounds. */
  planGapMs: 12,
  /**
   * After a planning round the owner pauses for this multiple of the round's duration, to answer calls.
   */
  planPauseFactor: 3,
  /**
   * The record that a job has begun waits this long for other records, to be appended together with them.
   */
  begunAppendDelayMs: 40,
  /** Interval of the log lines that give the number of pending jobs. */
  pendingReportIntervalMs: 1_000,
  /**
   * Maximum time between two planning rounds. It covers what no record announces: tickets that expire and
   * occurrences that become due.
   */
  planIntervalMs: 100,
  /**
   * When the record of a decided start has not been applied within this time, the store counts as
   * unavailable, and no more starts are decided.
   */
  staleProposalMs: 400,
  /**
   * A start is not sent when this time has passed since its decision: an owner that does not answer is
   * replaced after 1 s.
   */
  maxDecisionAgeMs: 900,
  /**
   * Maximum number of times that an unanswered start is sent again before the worker is asked for its runs.
   */
  maxStartRepeats: 2,
  /** Interval of the records by which the owner renews its claim. */
  renewMs: 250,
  /**
   * Time for which a decision waits for others, to be appended together with them. Halves the number of calls
   * to the store.
   */
  lingerMs: 8,
  /** Upper bound of `lingerMs` plus the event-loop delay. */
  maxLingerMs: 40,
  /** Interval of snapshots of the cell state: well below the 20 s for which the log retains records. */
  snapshotIntervalMs: 4_000,
  /**
   * Delay of the first snapshot of an owner after its claim, long enough that its first starts precede it.
   * The newest snapshot may be almost an interval old by then, and the owner may be replaced before another
   * interval has passed.
   */
  firstSnapshotDelayMs: 500,
  /**
   * A worker still gets starts for this time after its entry was removed, as entries reappear within 2 s.
   */
  missingEntryGraceMs: 3_000,
  /** Minimum remaining validity of a ticket that leaves time to record and send a start. */
  minTicketValidityMs: 100,
} as const;
