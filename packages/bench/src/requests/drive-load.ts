import type { Clock } from '@acaciahoist/clock';
import type { createRequestLoad } from './create-request-load.js';
import type { RequestResult } from './request-result.js';

type LoadRequest = ReturnType<typeof createRequestLoad>[number];

/**
 * Starts each request at its time, whether or not earlier ones have ended (open loop), and waits for the
 * results of all.
 */
export async function driveLoad(
  clock: Clock,
  load: readonly LoadRequest[],
  send: (request: LoadRequest) => Promise<RequestResult['outcome']>,
): Promise<RequestResult[]> {
  const startMs = clock.monotonicMs();
  const sent: Promise<RequestResult>[] = [];
  const start = async (request: LoadRequest): Promise<RequestResult> => {
    const sentAtMs = clock.monotonicMs();
    const outcome = await send(request);
    return { request, outcome, latencyMs: clock.monotonicMs() - sentAtMs };
  };
  while (sent.length < load.length) {
    const nowMs = clock.monotonicMs() - startMs;
    for (;;) {
      const next = load[sent.length];
      if (next === undefined || next.atMs > nowMs) break;
      sent.push(start(next));
    }
    await new Promise<void>((resolve) => clock.after(1, resolve));
  }
  return Promise.all(sent);
}
