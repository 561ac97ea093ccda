/** Safety margins of task leases. */
export const workerLease = {
  /** Factor that covers the difference between the clock rates of two VMs. */
  rateFactor: 1.02,
  /** Time that a worker may take to stop a task after its lease expired. */
  stopMarginMs: 500,

  /**
   * Returns the time after which a lease whose last renewal was sent at `sentMs` has certainly expired.
   */
  computeExpiryMs(sentMs: number, taskLeaseMs: number): number {
    return sentMs + taskLeaseMs * workerLease.rateFactor + workerLease.stopMarginMs;
  },
};
