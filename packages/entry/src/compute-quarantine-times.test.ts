import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { SlotPool } from '@acaciahoist/slot-pool';
import { computeQuarantineTimes } from './compute-quarantine-times.js';

// Guards against a slot that is granted twice after a failover: the holder of a grant of the predecessor uses it
// until its deadline by its own clock, which may be 2% slower, and its last messages may be late.
test('the quarantine after a failover lasts as long as a grant of the predecessor for a process with a slower clock', async () => {
  const clock = ManualClock.create();
  const createPool = (token: number) => {
    const pool = SlotPool.create({
      clock,
      token,
      slotsPerRunner: 1,
      heldSlotsPercent: 0,
      maxDeadlineMs: 30_000,
    });
    pool.setRunners([{ address: 'r', services: ['s'], state: 'live' }]);
    return pool;
  };
  const predecessor = createPool(1);
  predecessor.setAuthority('leased');
  const successor = createPool(2);
  const expiry = { leaseUntilMs: 0, holdUntilMs: 0 };
  successor.startAfterFailover(computeQuarantineTimes(expiry, 30_000));
  successor.setAuthority('leased');
  const request = { service: 's', lane: 'prompt', holder: 'h', deadlineMs: 30_000, exclude: [] };
  const grant = await predecessor.acquire({ ...request, lane: 'prompt', grantId: 'g' });
  expect(grant.isOk).toEqual(true);
  const isInUse = (pool: SlotPool) => pool.outstanding().length > 0;
  let successorGrants = 0;
  for (let elapsedMs = 0; elapsedMs < 40_000; elapsedMs += 50) {
    void successor
      .acquire({ ...request, lane: 'prompt', grantId: `g-${elapsedMs}`, deadlineMs: 50 })
      .then((result) => {
        if (result.isOk) successorGrants += 1;
      });
    await Promise.resolve();
    await Promise.resolve();
    if (isInUse(predecessor)) expect(successorGrants).toEqual(0);
    clock.advance(50);
  }
  expect(successorGrants).toBeGreaterThan(0);
});
