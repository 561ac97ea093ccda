import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { Random } from '@acaciahoist/random';
import { WorkerHealth } from './worker-health.js';

function create(): { health: WorkerHealth; clock: ManualClock } {
  const clock = ManualClock.create();
  const health = WorkerHealth.create(clock);
  for (let index = 0; index < 30; index += 1) health.recordSpeed(`w${index % 10}`, 'q', 1);
  return { health, clock };
}

// Guards against a worker that fails all its runs at once and, with its capacity free, gets all the work.
test('the worker health ejects a worker that fails while others succeed', () => {
  const { health } = create();
  for (let index = 0; index < 6; index += 1) health.recordFailure('bad', `job${index}`);
  expect(health.fitnessOf('bad')).toEqual('ejected');
  expect(health.fitnessOf('w0')).toEqual('full');
});

// Guards against a faulty job that ejects one worker after another.
test('the worker health ejects no worker for a job that fails everywhere', () => {
  const { health } = create();
  for (let index = 0; index < 10; index += 1) health.recordFailure(`w${index}`, 'poison');
  for (let index = 0; index < 10; index += 1) expect(health.fitnessOf(`w${index}`)).toEqual('full');
});

// Guards against prompt steps that wait for a worker that takes several times as long as the others.
test('the worker health ejects a slow worker and readmits it after a run at the usual speed', () => {
  const { health, clock } = create();
  health.recordSpeed('slow', 'q', 6);
  health.recordSpeed('slow', 'q', 6);
  expect(health.fitnessOf('slow')).toEqual('ejected');
  clock.advance(2_600);
  expect(health.fitnessOf('slow')).toEqual('probation');
  health.recordSpeed('slow', 'q', 1);
  expect(health.fitnessOf('slow')).toEqual('full');
});

// Guards against a worker that gets no starts, and so is never readmitted, because a long-running run has been
// there since before its ejection.
test('the worker health tries a worker on probation beside its earlier runs with one run at a time', () => {
  const { health, clock } = create();
  const earlierRun = { trackedSinceMs: clock.monotonicMs() };
  for (let index = 0; index < 6; index += 1) health.recordFailure('bad', `job${index}`);
  expect(health.mayGetStarts('bad', [earlierRun])).toEqual(false);
  clock.advance(2_600);
  expect(health.mayGetStarts('bad', [earlierRun])).toEqual(true);
  const trial = { trackedSinceMs: clock.monotonicMs() };
  expect(health.mayGetStarts('bad', [earlierRun, trial])).toEqual(false);
  health.recordSpeed('bad', 'q', 1);
  expect(health.mayGetStarts('bad', [earlierRun, trial])).toEqual(true);
});

// Guards against a worker that stays on probation for good because every queue of the cell is prompt, every step
// is a gang, or the run that tries it has no end.
test('the worker health ends a probation without a result and ejects the worker for longer if it fails again', () => {
  const { health, clock } = create();
  for (let index = 0; index < 6; index += 1) health.recordFailure('bad', `job${index}`);
  clock.advance(2_600);
  const trial = { trackedSinceMs: clock.monotonicMs() };
  clock.advance(19_000);
  expect(health.fitnessOf('bad')).toEqual('probation');
  clock.advance(1_000);
  expect(health.fitnessOf('bad')).toEqual('full');
  expect(health.mayGetStarts('bad', [trial])).toEqual(true);
  health.recordFailure('bad', 'later');
  expect(health.fitnessOf('bad')).toEqual('ejected');
  clock.advance(4_900);
  expect(health.fitnessOf('bad')).toEqual('ejected');
});

// Guards against workers that are ejected because the estimates of a whole queue are far off.
test('the worker health ejects no worker when all runs of a queue exceed their estimates', () => {
  const { health } = create();
  for (let index = 0; index < 20; index += 1) health.recordSpeed(`w${index % 10}`, 'off', 5);
  for (let index = 0; index < 10; index += 1) expect(health.fitnessOf(`w${index}`)).toEqual('full');
});

// Guards against a cell that ejects so many workers that the others cannot carry the load.
test('the worker health ejects fewer than half of the workers when runs stall on all of them', () => {
  const { health } = create();
  for (let index = 0; index < 10; index += 1) health.recordStall(`w${index}`);
  const ejected = Array.from({ length: 10 }, (_, index) => health.fitnessOf(`w${index}`)).filter(
    (fitness) => fitness === 'ejected',
  );
  expect(ejected.length < 5).toEqual(true);
});

// Guards against healthy workers that are ejected because estimates are off by a factor of up to ten.
test('the worker health ejects almost no healthy workers when estimates are rough', () => {
  const seed = 20261204;
  const random = Random.create(seed);
  const clock = ManualClock.create();
  const health = WorkerHealth.create(clock);
  let ejections = 0;
  for (let index = 0; index < 3_000; index += 1) {
    clock.advance(20);
    const ratio = 1 / (0.1 + 1.8 * random.next());
    if (health.recordSpeed(`w${random.integer(0, 32 - 1)}`, 'rough', ratio)) ejections += 1;
  }
  expect(ejections <= 2).toEqual(true);
});

// Guards against a slow worker that is not detected because estimates are rough.
test('the worker health ejects a slow worker when estimates are rough', () => {
  const random = Random.create(7);
  const { health } = create();
  for (let index = 0; index < 300; index += 1)
    health.recordSpeed(`w${index % 10}`, 'rough', 1 / (0.1 + 1.8 * random.next()));
  for (let index = 0; index < 6; index += 1)
    health.recordSpeed('slow', 'rough', 6 / (0.1 + 1.8 * random.next()));
  expect(health.fitnessOf('slow')).toEqual('ejected');
});
