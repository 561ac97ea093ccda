import { createHash } from 'node:crypto';
import { test } from 'node:test';
import { expect } from 'earl';
import type { PlatformEvent } from '../cell/platform-event.js';
import type { RequestResult } from './request-result.js';
import { summarizeRuns } from './summarize-runs.js';

let sequence = 0;

function createRun(id: string, requestId: string, fromMs: number, toMs: number): PlatformEvent[] {
  const bodyDigest = createHash('sha256').update(id).digest('hex').slice(0, 16);
  const at = (atMs: number) => ({ sequence: ++sequence, atMs, source: 'runner', requestId });
  const began = { service: 'sealing', process: 'p', bodyDigest, busySlots: 1 };
  return [
    { ...at(fromMs), type: 'request-began', ...began },
    { ...at(toMs), type: 'request-ended', outcome: 'served', busySlots: 0 },
  ];
}

function createCompleted(id: string): RequestResult {
  const request = { atMs: 0, id, service: 'sealing', lane: 'heavy' as const, serviceMs: 10 };
  return { request, latencyMs: 10, outcome: 'completed' };
}

test('summarizeRuns counts a second run of a sealing, an answer without a run and an oversold slot', () => {
  // Guards against a bench that reports 0 violations whatever happens, because it does not compare the
  // runs at the runners with the answers to the callers.
  const clean = [...createRun('a', 'r1', 0, 500), ...createRun('b', 'r2', 500, 1_000)];
  const good = summarizeRuns(clean, [createCompleted('a'), createCompleted('b')], 1_000);
  expect(good).toEqual({ busySlots: 1, oversold: 0, duplicated: 0, notServed: 0 });

  const oversold: PlatformEvent = {
    type: 'oversold',
    resource: 'slots',
    used: 9,
    capacity: 8,
    sequence: ++sequence,
    atMs: 600,
    source: 'runner',
  };
  const events = [...clean, ...createRun('a', 'r3', 500, 1_000), oversold];
  const bad = summarizeRuns(events, [createCompleted('a'), createCompleted('missing')], 1_000);
  expect({ ...bad, busySlots: 0 }).toEqual({
    busySlots: 0,
    oversold: 1,
    duplicated: 1,
    notServed: 1,
  });
});
