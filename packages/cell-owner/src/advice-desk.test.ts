import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import type { AdviceClient } from '@acaciahoist/cell-types/advice-client';
import { AdviceDesk } from './advice-desk.js';

const TIMEOUT_MS = 500;

// Guards against a step without advice for as long as helpers report and cannot be called: it must be
// asked for by the owner itself, and only then, since the own lane is kept for prompt steps.
test('asks for a step itself after a helper failed', async () => {
  const clock = ManualClock.create();
  const asked: string[] = [];
  const lane =
    (name: string, kind: 'allowed' | 'failed'): AdviceClient =>
    () => {
      asked.push(name);
      return Promise.resolve(
        kind === 'allowed' ? { kind, tickets: [] } : { kind, reason: 'no answer' },
      );
    };
  const desk = AdviceDesk.create({ clock, own: lane('own', 'allowed') });
  const report = (): void => {
    desk.seen('a', lane('a', 'failed'));
    desk.seen('b', lane('b', 'failed'));
  };
  report();
  expect((await desk.tryAsk('1.0.0', ['w'], false, TIMEOUT_MS))?.kind).toEqual('failed');
  report();
  expect((await desk.tryAsk('1.0.0', ['w'], false, TIMEOUT_MS))?.kind).toEqual('allowed');
  report();
  expect((await desk.tryAsk('2.0.0', ['w'], false, TIMEOUT_MS))?.kind).toEqual('failed');
  expect(asked.map((name) => name === 'own')).toEqual([false, true, false]);
});
