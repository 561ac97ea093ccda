/** Why a submission would be refused, or would start nothing. */
export const PreviewReason = {
  /** The process has read no configuration yet. */
  noConfiguration: 'no-configuration',
  /** Host and path name no queue. */
  unknownQueue: 'unknown-queue',
  /** The configuration has teams, the queue is not public, and no known team is named. */
  noTeam: 'no-team',
  bodyTooLarge: 'body-too-large',
  /** The id or the body is not valid. */
  invalidJob: 'invalid-job',
  /** The jobs that have not ended take all memory set aside for them. */
  noRoom: 'no-room',
  /** A gang of the job needs more than the quota of its team. */
  gangBeyondQuota: 'gang-beyond-quota',
  /** The team submits faster than its share permits while room is short. */
  teamBeyondRate: 'team-beyond-rate',
  /** Neither the store nor another process answers. */
  storeUnavailable: 'store-unavailable',
  /** A job of this id was accepted before. */
  knownJob: 'known-job',
  /** A cancel of this id came first. */
  cancelledBefore: 'cancelled-before',
} as const;

export type PreviewReason = (typeof PreviewReason)[keyof typeof PreviewReason];
