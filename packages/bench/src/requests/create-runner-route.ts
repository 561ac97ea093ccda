import type { HttpCallers } from './http-callers.js';
import { requestServices } from './request-services.js';
import type { RequestRoute } from './request-route.js';
import type { SlotQueue } from './slot-queue.js';

/**
 * Creates a route that waits for a slot of the queue that `chooseQueue` returns and sends the request
 * directly to the slot's runner.
 */
export function createRunnerRoute(
  callers: { prompt: HttpCallers; heavy: HttpCallers },
  chooseQueue: () => SlotQueue,
): RequestRoute {
  return async (request) => {
    const queue = chooseQueue();
    const runner = await queue.acquire(request.lane);
    const service = requestServices[request.service as keyof typeof requestServices];
    const headers = {
      'x-request-id': request.id,
      'x-service': request.service,
      'x-deadline-ms': String(service.deadlineMs),
    };
    const outcome = await callers[request.lane].send(runner, '/run', request, headers);
    queue.release(runner);
    return outcome;
  };
}
