/** Faults of one run of an owner's process, taken in order; after the last one all goes well. */
export interface OwnerFaultPlan {
  appends: ('ok' | 'refused' | 'unknown-done' | 'unknown-late' | 'unknown-lost' | 'never')[];
  sends: ('reply' | 'unsent' | 'cut' | 'hang' | 'delayed' | 'error-status' | 'broken')[];
  slots: ('ok' | 'overloaded' | 'never')[];
  /** Number of the clock step in which the lease is lost, and in which the process stops. */
  leaseLostAtStep: number;
  crashAtStep: number;
  /** Step in which this owner ends the claims that it found. */
  closesClaimsAtStep: number;
  calls: { atStep: number; hasOtherBody: boolean; deadlineMs: number }[];
}
