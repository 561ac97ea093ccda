import { JsonFields } from '@acaciahoist/http-client/json-fields';
import { readResources } from '@acaciahoist/http-client/read-resources';
import type { TaskStart } from '@acaciahoist/types/task-start';
import type { Endpoint } from './endpoint.js';
import type { EndpointResponse } from './endpoint-response.js';
import type { EndpointRequest } from './endpoint-request.js';
import { createErrorResponse } from './create-error-response.js';
import { createJsonResponse } from './create-json-response.js';
import type { Worker } from './worker.js';

/** Longest list in a request. */
const MAX_LIST_ITEMS = 10_000;

/** Upper limit on the durations in requests: ten years. */
const MAX_DURATION_MS = 10 * 365 * 86_400_000;

/** Handles an HTTP request to one worker. */
export function handleWorkerRequest(
  worker: Worker,
  endpoint: Endpoint,
  request: EndpointRequest,
): EndpointResponse {
  if (request.path === '/usage') {
    if (request.method !== 'GET')
      return createErrorResponse(405, 'bad-request', 'the method must be GET');
    const { resources, rack } = worker;
    return createJsonResponse(200, { resources, rack, ...worker.createUsageReport() });
  }
  const route = routes.get(request.path);
  if (route === undefined)
    return createErrorResponse(404, 'not-found', `the path ${request.path} does not exist`);
  if (request.method !== 'POST')
    return createErrorResponse(405, 'bad-request', 'the method must be POST');
  // The whole body is checked before any part of it takes effect.
  const call = JsonFields.read(request.body, (fields) => ({
    token: fields.integer('token'),
    execute: route(fields),
  }));
  if (call.isErr) return createErrorResponse(400, 'bad-request', call.error);
  if (!worker.acceptToken(call.value.token))
    return createErrorResponse(409, 'stale', 'the worker has received a higher token');
  return createJsonResponse(
    200,
    call.value.execute({ worker, endpoint, request, token: call.value.token }),
  );
}

/** A request with a valid body and an accepted token. */
interface AcceptedRequest {
  worker: Worker;
  endpoint: Endpoint;
  request: EndpointRequest;
  token: number;
}

/** Checks the body of a request and returns the function that executes the request. */
type Route = (fields: JsonFields) => (call: AcceptedRequest) => unknown;

const routes: ReadonlyMap<string, Route> = new Map<string, Route>([
  [
    '/fence',
    () =>
      ({ worker }) =>
        worker.createCurrentReport(),
  ],
  [
    '/tasks',
    (fields) => {
      const starts = fields.list('starts', MAX_LIST_ITEMS, readStart);
      return (call) => ({ results: startTasks(call, starts) });
    },
  ],
  [
    '/leases',
    (fields) => {
      const taskIds = fields.texts('taskIds', MAX_LIST_ITEMS);
      const leaseMs = fields.number('leaseMs', 0, MAX_DURATION_MS);
      return ({ worker }) => ({
        tasks: taskIds.map((taskId) => ({
          taskId,
          state: worker.renew(taskId, leaseMs) ?? 'unknown',
        })),
      });
    },
  ],
  [
    '/actions',
    (fields) => {
      const actions = fields.list('actions', MAX_LIST_ITEMS, (item) => ({
        taskId: item.text('taskId'),
        action: item.oneOf('action', ['stop', 'checkpoint', 'throttle']),
      }));
      return ({ worker }) => ({
        results: actions.map(({ taskId, action }) => ({
          taskId,
          done: worker.applyAction(taskId, action),
        })),
      });
    },
  ],
]);

function readStart(fields: JsonFields): TaskStart {
  return {
    taskId: fields.text('taskId', 200),
    jobId: fields.text('jobId', 200),
    resources: readResources(fields.object('resources')),
    leaseMs: fields.number('leaseMs', 0, MAX_DURATION_MS),
    deadlineMs: fields.number('deadlineMs', 0, MAX_DURATION_MS),
    runMs: fields.raw('runMs') === null ? null : fields.number('runMs', 0, MAX_DURATION_MS),
    resume: fields.flag('resume'),
  };
}

/**
 * Starts tasks. All starts are refused when they were meant for another incarnation, because a
 * restarted worker has lost the tokens that it received, or when the send time is missing.
 */
function startTasks(
  { worker, endpoint, request, token }: AcceptedRequest,
  starts: readonly TaskStart[],
): unknown[] {
  const sentAtMs = Number(request.headers['x-sent-at-ms']);
  const expectedIncarnation = request.headers['x-expected-incarnation'];
  if (expectedIncarnation !== endpoint.incarnation || !Number.isFinite(sentAtMs)) {
    const reason = 'the start names no send time or another incarnation';
    return starts.map((start) => worker.refuseStart(start.taskId, reason));
  }
  // The client states the send time on the clock of this incarnation.
  const ownSentAtMs = Math.min(sentAtMs - endpoint.clockOffsetMs, request.receivedMs);
  return starts.map((start) => worker.start(token, start, ownSentAtMs));
}
