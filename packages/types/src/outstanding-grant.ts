/** A slot grant that may still be in use, as its holder or a former owner of the partition reports it. */
export interface OutstandingGrant {
  grantId: string;
  runner: string;
  service: string;
  lane: 'prompt' | 'heavy';
  /** The process that uses the slot, with its incarnation. */
  holder: string;
  /** Time until the deadline of the grant. */
  remainingMs: number;
}
