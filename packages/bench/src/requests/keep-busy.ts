import type { Clock } from '@acaciahoist/clock';
import type { RequestResult } from './request-result.js';
import type { RequestRoute } from './request-route.js';

/**
 * Keeps `callers` verification requests in flight for a time: each caller sends its next request when the
 * previous one has ended (closed loop).
 */
export async function keepBusy(
  clock: Clock,
  options: { name: string; callers: number; durationMs: number; serviceMs: number },
  send: RequestRoute,
): Promise<RequestResult[]> {
  const endMs = clock.monotonicMs() + options.durationMs;
  const results: RequestResult[] = [];
  const runCaller = async (caller: number): Promise<void> => {
    for (let number = 0; clock.monotonicMs() < endMs; number += 1) {
      const id = `${options.name}-${caller}-${number}`;
      const { serviceMs } = options;
      const request = { atMs: 0, id, service: 'verification', lane: 'heavy' as const, serviceMs };
      const sentAtMs = clock.monotonicMs();
      const outcome = await send(request);
      results.push({ request, outcome, latencyMs: clock.monotonicMs() - sentAtMs });
      // Prevents a tight loop when requests are refused at once.
      if (outcome !== 'completed') await new Promise<void>((resolve) => clock.after(20, resolve));
    }
  };
  await Promise.all(Array.from({ length: options.callers }, (_, caller) => runCaller(caller)));
  return results;
}
