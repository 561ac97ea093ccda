import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from './manual-clock.js';
import { PausableClock } from './pausable-clock.js';

function resumeAndRunDeferred(clock: PausableClock): void {
  const { timers, arrivals } = clock.resume();
  for (const run of [...timers, ...arrivals]) run();
}

// Guards against a paused process that still runs timers, and against timers that are lost in a pause.
test('the pausable clock defers timers while it is paused and counts the time of the pause', () => {
  const base = ManualClock.create();
  const clock = PausableClock.create(base);
  const fired: string[] = [];
  clock.after(20, () => fired.push('b'));
  const cancel = clock.after(15, () => fired.push('cancelled'));
  clock.after(10, () => {
    fired.push('a');
    cancel();
  });
  clock.after(500, () => fired.push('c'));
  clock.pause();
  base.advance(100);
  expect(fired).toEqual([]);
  resumeAndRunDeferred(clock);
  expect(fired).toEqual(['a', 'b']);
  expect(clock.monotonicMs()).toEqual(100);
  base.advance(400);
  expect(fired).toEqual(['a', 'b', 'c']);
});

// Guards against timers that fire too early after a suspension because monotonic time counted it.
test('the pausable clock counts the time of a suspension on the wall clock only', () => {
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
  resumeAndRunDeferred(clock);
  expect(clock.monotonicMs()).toEqual(20);
  expect(clock.wallMs()).toEqual(1_520);
  base.advance(29);
  expect(runs).toEqual(0);
  base.advance(1);
  expect(runs).toEqual(1);
});

// Guards against a wall clock jump of one machine that moves its timers or the clocks of other machines.
test('the pausable clock keeps its monotonic time and its base when its wall clock jumps', () => {
  const base = ManualClock.create(1_000);
  const clock = PausableClock.create(base);
  clock.jumpWall(-300);
  expect(clock.wallMs()).toEqual(700);
  expect(clock.monotonicMs()).toEqual(0);
  expect(base.wallMs()).toEqual(1_000);
});

// Guards against a paused process that acts on a value because its promise resolves during the pause.
test('the pausable clock delivers a value that arrives during a pause after it resumes', async () => {
  const clock = PausableClock.create(ManualClock.create());
  clock.pause();
  let delivered = '';
  const arrived = clock.deliver(Promise.resolve('late')).then((value) => (delivered = value));
  await new Promise((resolve) => setImmediate(resolve));
  expect(delivered).toEqual('');
  resumeAndRunDeferred(clock);
  expect(await arrived).toEqual('late');
});
