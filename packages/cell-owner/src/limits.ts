/** Times of the owner in ms, with the reason for each. */
export const limits = {
  /** Lease of what runs: outlasts a cut of 6 s and the 2 s until the next hold call. */
  leaseMs: 8_000,
  /** Without an acknowledged append for this long the owner extends no lease any more. */
  extendWithoutStoreMs: 6_000,
  /**
   * The same for stops. A silent owner is replaced after 1 s; with answers of the store after 400 ms, as
   * slow ones take, the newest acknowledged append is always younger than 1 s.
   */
  stopWithoutStoreMs: 1_500,
  /** Steady clocks of workers may be this share slow. */
  clockDrift: 0.02,
  /** Added to every bound that rests on another machine's clock. */
  clockMarginMs: 300,
  /** Wait of a hold call: at most one look a second at a worker whose runs go on. */
  holdWaitMs: 1_000,
  /** The same while the process is busy; the platform allows 2 s. */
  busyHoldWaitMs: 2_000,
  /** A process that gets to its work this late is busy. */
  busyDelayMs: 15,
  /** Pause after a hold call that returned ends, so that one look serves several of them. */
  holdGapMs: 80,
  /** The pause grows by this multiple of the delay of the process. */
  holdDelayFactor: 2,
  /** Workers to which a new owner connects at once, and the pause before the next ones. */
  connectedAtOnce: 16,
  connectGapMs: 2,
  /** Workers that a new owner finds within this time are logged in one line. */
  firstWorkersMs: 500,
  /** Pause after a hold call that failed. */
  holdRetryMs: 150,
  /** A worker that answered nothing for this long after the wait of its call takes no starts. */
  silentWorkerMs: 500,
  /** Time for which a worker that refused a start as unhealthy takes none. */
  unhealthyPauseMs: 1_000,
  /** A run without any progress for this long, at a worker that answers, stands still. */
  stallMs: 2_500,
  /** Members of a gang wait this long for each other and then make no progress. */
  gangStallMs: 5_500,
  /** Share of work in percent from which the progress of a run tells its speed. */
  measurablePercent: 20,
  /** Work that can resume is stopped this long before its worker leaves: a stop takes up to 400 ms. */
  leaveMarginMs: 900,
  /** Least time between two stop orders for the same run. */
  stopRepeatMs: 300,
  /** Least time between two planning rounds. */
  planGapMs: 12,
  /** A round is followed by a pause of this many times its length, in which calls are answered. */
  planRestFactor: 3,
  /** The beginning of a job waits this long for other records to be appended with. */
  begunDelayMs: 40,
  /** Interval of the log lines that tell how many jobs wait. */
  waitingReportMs: 1_000,
  /** A planning round runs at least this often: tickets expire and set times come. */
  planTickMs: 100,
  /** Records that wait this long to come back show a store that is away: no more starts are decided. */
  staleProposalMs: 400,
  /** A start is sent only this soon after it was decided. */
  maxDecisionAgeMs: 900,
  /** An unanswered start is sent this often again before it is looked for. */
  startRepeats: 2,
  /** Interval of the owner's sign of life in the log. */
  renewMs: 250,
  /** Time for which a decision waits for others before it is appended; halves the calls to the store. */
  lingerMs: 8,
  /** It waits longer by the delay of the process, up to this. */
  maxLingerMs: 40,
  /** Interval of snapshots; the log keeps 20 s. */
  snapshotMs: 4_000,
  /** An entry that was removed names a worker still for this long: entries come back within 2 s. */
  missingEntryMs: 3_000,
  /** Shortest ticket life that still lets a start be recorded and sent. */
  ticketMarginMs: 100,
} as const;
