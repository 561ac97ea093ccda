/**
 * Faults of one incarnation of an owner. Each call takes the next entry of its list; calls after the last
 * entry succeed.
 */
export interface OwnerFaultPlan {
  /**
   * Results of journal appends. `refused`: certainly not appended. `unknown-...`: the caller gets no
   * definite result, and the entry was appended, is appended later, or is lost. `never`: no reply.
   */
  appends: ('ok' | 'refused' | 'unknown-done' | 'unknown-late' | 'unknown-lost' | 'never')[];
  /**
   * Results of sends to a runner. `unsent`: no byte was sent. `cut`: the connection closes before the
   * reply. `hang`: no reply before the deadline. `delayed`: the process pauses before the send.
   * `error-status`: a reply with status 500. `broken`: the reply has no valid body.
   */
  sends: ('reply' | 'unsent' | 'cut' | 'hang' | 'delayed' | 'error-status' | 'broken')[];
  /** Results of slot requests. `never`: no reply. */
  slots: ('ok' | 'overloaded' | 'never')[];
  /** Clock step at which the owner loses its lease. */
  leaseLostAtStep: number;
  /** Clock step at which the process crashes. */
  crashAtStep: number;
  /** Clock step at which this owner records the outcome of claims left open by its predecessors. */
  claimsClosedAtStep: number;
  /** Calls with the key, made to this owner. */
  calls: { atStep: number; hasOtherBody: boolean; deadlineMs: number }[];
}
