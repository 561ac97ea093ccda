import type { AdviceClient } from '@acaciahoist/cell-types/advice-client';
import { isAdvice } from './is-advice.js';
import type { PeerCalls } from './peer-calls.js';

/** Returns a client of the advice service that calls it through another process, which offered help. */
export function requestAdviceThrough(
  peers: Pick<PeerCalls, 'call'>,
  address: string,
): AdviceClient {
  return async (step, workers, timeoutMs) => {
    const reply = await peers.call(address, 'advise', { step, workers, timeoutMs }, timeoutMs);
    if (reply.isErr) return { kind: 'failed', reason: reply.error.message };
    const { advice } = reply.value;
    return isAdvice(advice)
      ? advice
      : { kind: 'failed', reason: `the advice reply of ${address} is malformed` };
  };
}
