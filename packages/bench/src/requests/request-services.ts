/**
 * Services of Cápsula's deployment that the bench calls, with their run times at the simulated runners. The
 * run times give about 800 requests a second at 80% load. With run times of 40% of these, the cell, the
 * platform and the callers together need more than 5 cores.
 */
export const requestServices = {
  lookup: { lane: 'prompt', serviceMs: 50, deadlineMs: 250, repeatable: true },
  verification: { lane: 'heavy', serviceMs: 500, deadlineMs: 5_000, repeatable: true },
  /** Needs an idempotency key, so the owner of the key records each request before and after its run. */
  sealing: { lane: 'heavy', serviceMs: 500, deadlineMs: 5_000, repeatable: false },
} as const;
