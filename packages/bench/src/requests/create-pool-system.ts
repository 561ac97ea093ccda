import { err, ok } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import { RequestRouter } from '@acaciahoist/request-router';
import { RetryBudget } from '@acaciahoist/request-router/retry-budget';
import { RunnerHealth } from '@acaciahoist/request-router/runner-health';
import { SlotPool } from '@acaciahoist/slot-pool';
import { createRandom } from './create-random.js';
import { delay } from './delay.js';
import type { EventClock } from './event-clock.js';
import type { FakeRunner } from './fake-runner.js';
import type { SlotSystem } from './slot-system.js';

const ROUTERS = 8;
const DEADLINE_MS = 2_000;

/**
 * Creates the measured system: request routers of several processes that share one slot pool. Each message
 * takes `messageMs`.
 */
export function createPoolSystem(
  clock: EventClock,
  runners: ReadonlyMap<string, FakeRunner>,
  options: { slotsPerRunner: number; messageMs: number; seed: number },
): SlotSystem {
  const { slotsPerRunner, messageMs, seed } = options;
  const addresses = [...runners.keys()];
  const pool = SlotPool.create({
    clock,
    token: 1,
    slotsPerRunner,
    heldSlotsPercent: 50,
    maxDeadlineMs: DEADLINE_MS,
  });
  pool.setRunners(addresses.map((address) => ({ address, services: ['s'], state: 'live' })));
  pool.setAuthority('leased');
  const serviceMsByRequestId = new Map<string, number>();
  const createRouter = (number: number): RequestRouter => {
    const random = createRandom(seed + number);
    let nextId = 0;
    return RequestRouter.create({
      clock,
      health: RunnerHealth.create({ clock, random, listRunners: () => addresses }),
      budget: RetryBudget.create(clock),
      holder: `p${number}`,
      createId: () => `p${number}-${nextId++}`,
      acquire: async (request) => {
        await delay(clock, messageMs);
        const reply = await pool.acquire(request);
        await delay(clock, messageMs);
        return reply;
      },
      release: (grantId, result) => {
        clock.after(messageMs, () => {
          pool.release(grantId, result);
        });
      },
      send: async (address, { requestId, contentType, body }) => {
        const runner = runners.get(address);
        if (runner === undefined)
          return err(Failure.create('internal', `runner ${address} does not exist`));
        await delay(clock, messageMs);
        await runner.run(serviceMsByRequestId.get(requestId) ?? 0);
        await delay(clock, messageMs);
        return ok({ requestId, incarnation: address, status: 200, contentType, body });
      },
    });
  };
  const routers = Array.from({ length: ROUTERS }, (_, number) => createRouter(number));
  const body = new Uint8Array();
  return async (_, { lane, serviceMs }, index) => {
    const requestId = `r${index}`;
    serviceMsByRequestId.set(requestId, serviceMs);
    const request = { requestId, service: 's', user: 'u', team: 't', lane };
    const message = { contentType: 'text/plain', body, deadlineMs: DEADLINE_MS };
    const result = await routers[index % ROUTERS]?.route({ ...request, ...message });
    serviceMsByRequestId.delete(requestId);
    return result?.isOk ?? false;
  };
}
