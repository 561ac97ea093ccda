import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { StartWindow } from './start-window.js';

// Guards against an owner that decides more starts than it can send before they are too old.
test('allows fewer starts at once after slow answers, and more after quick ones', () => {
  const clock = ManualClock.create();
  const window = StartWindow.create(clock, () => false);
  const first = window.roomFor(0);
  expect(window.roomFor(first + 5)).toEqual(0);
  for (let start = 0; start < first; start += 1) window.sent();
  expect(window.roomFor(0)).toEqual(0);
  for (let start = 0; start < first; start += 1) window.settled(10, true);
  expect(window.roomFor(0)).toEqual(2 * first);
  for (let burst = 0; burst < 20; burst += 1) {
    clock.advance(300);
    window.sent();
    window.settled(400, true);
  }
  expect(window.roomFor(0)).toEqual(4);
});

// Guards against one burst of slow answers that stops the cell.
test('counts the slow answers of one burst once', () => {
  const window = StartWindow.create(ManualClock.create(), () => false);
  const first = window.roomFor(0);
  for (let start = 0; start < first; start += 1) window.sent();
  for (let start = 0; start < first; start += 1) window.settled(400, true);
  expect(window.roomFor(0)).toBeGreaterThan(first / 2);
});

// Load pattern: workers that leave a part of their orders unanswered. Guards against a cell that starts
// less because of them, and against a busy owner that takes its own delay for their fault.
test('leaves unanswered starts to the workers unless the process is busy', () => {
  const clock = ManualClock.create();
  let isBusy = false;
  const window = StartWindow.create(clock, () => isBusy);
  const first = window.roomFor(0);
  window.sent();
  window.settled(400, false);
  expect(window.roomFor(0)).toEqual(first);
  isBusy = true;
  window.sent();
  window.settled(400, false);
  expect(window.roomFor(0)).toBeLessThan(first);
});
