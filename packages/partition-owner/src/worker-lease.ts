/** Safety margins of task leases. */
export const workerLease = {
  /** Factor that covers the drift between the clocks of two VMs. */
  driftFactor: 1.02,
  /** Time that a worker may take to stop a task after its lease expired. */
  stopMarginMs: 500,

  /**
   * Returns the time after which a lease whose last renewal was sent at `sentAtMs` has certainly expired.
   */
  computeExpiryAtMs(sentAtMs: number, taskLeaseMs: number): number {
    return sentAtMs + taskLeaseMs * workerLease.driftFactor + workerLease.stopMarginMs;
  },
};
