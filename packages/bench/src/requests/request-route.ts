import type { createRequestLoad } from './create-request-load.js';
import type { RequestResult } from './request-result.js';

/** Sends a request to a runner on one kind of route and returns its outcome. */
export type RequestRoute = (
  request: ReturnType<typeof createRequestLoad>[number],
) => Promise<RequestResult['outcome']>;
