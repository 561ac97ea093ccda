import type { createRequestLoad } from './create-request-load.js';
import type { RequestResult } from './request-result.js';

/** Sends a request to a runner, directly or through an entry process, and returns its outcome. */
export type RequestRoute = (
  request: ReturnType<typeof createRequestLoad>[number],
) => Promise<RequestResult['outcome']>;
