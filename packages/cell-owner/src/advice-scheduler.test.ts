import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import type { AdviceClient } from '@acaciahoist/cell-types/advice-client';
import { AdviceScheduler } from './advice-scheduler.js';

const TIMEOUT_MS = 500;

// Guards against a step that gets no advice because helpers that send reports cannot be called. Only then
// must the owner request advice for it through its own lane, which is reserved for prompt steps.
test('the advice scheduler requests advice for a step through its own lane after a helper failed', async () => {
  const clock = ManualClock.create();
  const usedLanes: string[] = [];
  const lane =
    (name: string, kind: 'allowed' | 'failed'): AdviceClient =>
    () => {
      usedLanes.push(name);
      return Promise.resolve(
        kind === 'allowed' ? { kind, tickets: [] } : { kind, reason: 'no answer' },
      );
    };
  const scheduler = AdviceScheduler.create({ clock, ownClient: lane('own', 'allowed') });
  const report = (): void => {
    scheduler.addHelper('a', lane('a', 'failed'));
    scheduler.addHelper('b', lane('b', 'failed'));
  };
  report();
  expect((await scheduler.tryRequest('1.0.0', ['w'], false, TIMEOUT_MS))?.kind).toEqual('failed');
  report();
  expect((await scheduler.tryRequest('1.0.0', ['w'], false, TIMEOUT_MS))?.kind).toEqual('allowed');
  report();
  expect((await scheduler.tryRequest('2.0.0', ['w'], false, TIMEOUT_MS))?.kind).toEqual('failed');
  expect(usedLanes.map((name) => name === 'own')).toEqual([false, true, false]);
});
