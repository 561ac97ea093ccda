import type { ProcessCell } from '../cell/process-cell.js';
import type { HttpCallers } from './http-callers.js';
import type { RequestRoute } from './request-route.js';

/**
 * Creates a route that sends requests to the entry processes in turn, as the platform's load balancer does.
 */
export function createEntryRoute(
  cell: ProcessCell,
  callers: { prompt: HttpCallers; heavy: HttpCallers },
): RequestRoute {
  let turn = 0;
  return (request) => {
    turn += 1;
    const entryProcess = cell.entryProcesses[turn % cell.entryProcesses.length];
    const headers = {
      ...cell.headers,
      ...(request.service === 'sealing' ? { 'idempotency-key': request.id } : {}),
    };
    const path = `/services/${request.service}`;
    return callers[request.lane].send(entryProcess?.listen ?? '', path, request, headers);
  };
}
