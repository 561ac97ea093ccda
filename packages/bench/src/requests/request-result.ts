import type { createRequestLoad } from './create-request-load.js';

/** Latency and outcome of one request for its caller. */
export interface RequestResult {
  request: ReturnType<typeof createRequestLoad>[number];
  latencyMs: number;
  /**
   * - `late`: completed after its deadline
   * - `refused`: an error response that states that the request did not run
   * - `unknown`: any other error response
   * - `lost`: no response, or the response to another request
   */
  outcome: 'completed' | 'late' | 'refused' | 'unknown' | 'lost';
}
