import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from './manual-clock.js';
import { PausableClock } from './pausable-clock.js';

function release(clock: PausableClock): void {
  const { timers, arrivals } = clock.resume();
  for (const run of [...timers, ...arrivals]) run();
}

// Guards against a paused process of which something goes on, and against lost timers.
test('holds timers back while it is paused, and counts the time', () => {
  const base = ManualClock.create();
  const clock = PausableClock.create(base);
  const seen: string[] = [];
  clock.after(20, () => seen.push('b'));
  const cancel = clock.after(15, () => seen.push('cancelled'));
  clock.after(10, () => {
    seen.push('a');
    cancel();
  });
  clock.after(500, () => seen.push('c'));
  clock.pause();
  base.advance(100);
  expect(seen).toEqual([]);
  release(clock);
  expect(seen).toEqual(['a', 'b']);
  expect(clock.monotonicMs()).toEqual(100);
  base.advance(400);
  expect(seen).toEqual(['a', 'b', 'c']);
});

// Guards against a suspension that counts as time passed on the steady clock.
test('counts the time of a suspension on the time of day only', () => {
  const base = ManualClock.create(1_000);
  const clock = PausableClock.create(base);
  let runs = 0;
  clock.after(50, () => {
    runs += 1;
  });
  base.advance(20);
  clock.suspend();
  base.advance(500);
  expect(clock.monotonicMs()).toEqual(20);
  release(clock);
  expect(clock.monotonicMs()).toEqual(20);
  expect(clock.wallMs()).toEqual(1_520);
  base.advance(29);
  expect(runs).toEqual(0);
  base.advance(1);
  expect(runs).toEqual(1);
});

// Guards against a jump of the time of day of one machine that moves its timers.
test('a jump of the time of day does not move monotonic time', () => {
  const base = ManualClock.create(1_000);
  const clock = PausableClock.create(base);
  clock.jumpWall(-300);
  expect(clock.wallMs()).toEqual(700);
  expect(clock.monotonicMs()).toEqual(0);
  expect(base.wallMs()).toEqual(1_000);
});

// Guards against an answer that a paused process acts on.
test('hands an answer over only while it runs', async () => {
  const clock = PausableClock.create(ManualClock.create());
  clock.pause();
  let answer = '';
  const arrived = clock.arrival(Promise.resolve('late')).then((value) => (answer = value));
  await new Promise((resolve) => setImmediate(resolve));
  expect(answer).toEqual('');
  release(clock);
  expect(await arrived).toEqual('late');
});
