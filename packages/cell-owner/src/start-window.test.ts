import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { StartWindow } from './start-window.js';

// Guards against an owner that decides more starts than it can send before they are too old.
test('the start window grows after quick replies and shrinks after slow ones', () => {
  const clock = ManualClock.create();
  const window = StartWindow.create(clock, () => false);
  const initialWindow = window.countAllowed(0);
  expect(window.countAllowed(initialWindow + 5)).toEqual(0);
  for (let start = 0; start < initialWindow; start += 1) window.recordSent();
  expect(window.countAllowed(0)).toEqual(0);
  for (let start = 0; start < initialWindow; start += 1) window.recordOutcome(10, true);
  expect(window.countAllowed(0)).toEqual(2 * initialWindow);
  for (let burst = 0; burst < 20; burst += 1) {
    clock.advance(300);
    window.recordSent();
    window.recordOutcome(400, true);
  }
  expect(window.countAllowed(0)).toEqual(4);
});

// Guards against a cell that nearly stops starting tasks after one burst of slow replies.
test('the start window shrinks once for the slow replies of one burst', () => {
  const window = StartWindow.create(ManualClock.create(), () => false);
  const initialWindow = window.countAllowed(0);
  for (let start = 0; start < initialWindow; start += 1) window.recordSent();
  for (let start = 0; start < initialWindow; start += 1) window.recordOutcome(400, true);
  expect(window.countAllowed(0)).toBeGreaterThan(initialWindow / 2);
});

// Load pattern: workers that leave some of their orders unanswered. Guards against a cell that starts fewer
// tasks because of them, and against a busy owner that mistakes its own delay for a fault of theirs.
test('the start window shrinks after an unanswered start only if the process is busy', () => {
  const clock = ManualClock.create();
  let isBusy = false;
  const window = StartWindow.create(clock, () => isBusy);
  const initialWindow = window.countAllowed(0);
  window.recordSent();
  window.recordOutcome(400, false);
  expect(window.countAllowed(0)).toEqual(initialWindow);
  isBusy = true;
  window.recordSent();
  window.recordOutcome(400, false);
  expect(window.countAllowed(0)).toBeLessThan(initialWindow);
});
