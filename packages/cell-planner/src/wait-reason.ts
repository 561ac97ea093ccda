/** Why a step of a job that has not ended does not start now, or that it runs. */
export const WaitReason = {
  /** The scheduled time of the occurrence has not come. */
  notDue: 'not-due',
  /** Steps that it depends on are not done. */
  earlierSteps: 'earlier-steps',
  /** Members of the last run of the gang have not ended. */
  gangEnds: 'gang-ends',
  /** Records of decided starts are not applied: no more starts are decided until they are. */
  storeUnavailable: 'store-unavailable',
  /** Its start is decided, and the record of the start is not applied yet. */
  startBeingRecorded: 'start-being-recorded',
  /** Its start is recorded, and the worker has not confirmed it. */
  startUnconfirmed: 'start-unconfirmed',
  /** Workers have confirmed the runs of all tasks that are not done. */
  running: 'running',
  /** The next planning round starts tasks of it. */
  startsNext: 'starts-next',
  /** No worker of the service is known. */
  noWorkers: 'no-workers',
  /** No worker of the service has the label that the step requires. */
  noLabel: 'no-label',
  /** All workers that could run it are draining, unreachable or ejected. */
  noneAccepts: 'none-accepts',
  /** It would not fit even if these workers were idle. */
  tooLarge: 'too-large',
  /**
   * A start would bring its team above its quota, or what is left of the quota is kept for earlier work of the team,
   * or no configuration has been read.
   */
  teamQuota: 'team-quota',
  /** The advice service has not answered for the step. */
  waitsForAdvice: 'waits-for-advice',
  /** The advice service allowed none of the workers that it was asked about. */
  adviceDenied: 'advice-denied',
  /** Too many starts have no answer from their workers. */
  startWindowFull: 'start-window-full',
  /** No allowed worker has room for a task. */
  noRoom: 'no-room',
  /** The workers with room serve, and best-effort tasks start there one after the other, while the tails are low. */
  besideServing: 'beside-serving',
  /** Workers with room already run as many tasks of the step as it permits. */
  limitPerWorker: 'limit-per-worker',
  /** The allowed workers have no room for all tasks of the gang at once. */
  noRoomForGang: 'no-room-for-gang',
  /**
   * Only workers on which its tasks have failed have room; for a second others that could run them come first.
   */
  failedThere: 'failed-there',
  /** The tickets for the workers with room have expired. */
  ticketsExpired: 'tickets-expired',
  /** The room goes to more urgent steps or is reserved for a gang. */
  behindOthers: 'behind-others',
} as const;

export type WaitReason = (typeof WaitReason)[keyof typeof WaitReason];
