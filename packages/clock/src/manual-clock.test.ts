import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from './manual-clock.js';

// Guards against tests that see timers in another order than a real clock would run them.
test('the manual clock runs timers in order of due time, including those that a timer schedules', () => {
  const clock = ManualClock.create();
  const fired: string[] = [];
  clock.after(20, () => fired.push('b'));
  clock.after(10, () => {
    fired.push('a');
    clock.after(5, () => fired.push('a2'));
  });
  clock.advance(30);
  expect(fired).toEqual(['a', 'a2', 'b']);
});

// Guards against a wall clock jump that makes timers due or changes durations.
test('the manual clock keeps its monotonic time when its wall clock jumps', () => {
  const clock = ManualClock.create(1_000);
  clock.jumpWall(500);
  expect(clock.monotonicMs()).toEqual(0);
  expect(clock.wallMs()).toEqual(1_500);
});

// Guards against a timer that stays in the list and runs although it was cancelled.
test('the manual clock does not run a cancelled timer', () => {
  const clock = ManualClock.create();
  let runs = 0;
  const cancel = clock.after(1, () => {
    runs += 1;
  });
  cancel();
  clock.advance(10);
  expect(runs).toEqual(0);
});
