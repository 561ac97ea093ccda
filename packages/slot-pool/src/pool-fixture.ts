import type { ManualClock } from '@acaciahoist/clock/manual-clock';
import type { SlotGrant } from './slot-grant.js';
import { SlotPool } from './slot-pool.js';
import type { SlotRequest } from './slot-request.js';

const SLOTS_PER_RUNNER = 8;
const HELD_SLOTS = 4;
const MAX_DEADLINE_MS = 1_000;
const MARGIN_MS = 250;

function createPool(clock: ManualClock, token = 1, maxWaiting = 1_000): SlotPool {
  return SlotPool.create({
    clock,
    token,
    slotsPerRunner: SLOTS_PER_RUNNER,
    heldSlotsPercent: 50,
    maxDeadlineMs: MAX_DEADLINE_MS,
    marginMs: MARGIN_MS,
    maxWaiting: { prompt: maxWaiting, heavy: maxWaiting },
  });
}

function createRequest(grantId: string, change: Partial<SlotRequest> = {}): SlotRequest {
  const deadlineMs = MAX_DEADLINE_MS;
  return { grantId, service: 's', lane: 'heavy', deadlineMs, holder: 'h', exclude: [], ...change };
}

const createLiveRunner = (address: string, services = ['s']) => ({
  address,
  services,
  state: 'live' as const,
});

/** Runs the callbacks of settled promises and of the promises that these callbacks settle. */
async function flushPromises(): Promise<void> {
  for (let turn = 0; turn < 5; turn += 1) await Promise.resolve();
}

/** Requests a slot and adds the grant or the failure to a list. */
function acquireAndRecord(
  pool: SlotPool,
  request: SlotRequest,
  granted: SlotGrant[],
  refused: string[] = [],
) {
  void pool.acquire(request).then((result) => {
    if (result.isOk) granted.push(result.value);
    else refused.push(`${request.grantId} ${result.error.kind}`);
  });
}

/** Constants and functions that the tests of the pool share. */
export const poolFixture = {
  SLOTS_PER_RUNNER,
  HELD_SLOTS,
  MAX_DEADLINE_MS,
  MARGIN_MS,
  createPool,
  createRequest,
  createLiveRunner,
  flushPromises,
  acquireAndRecord,
} as const;
