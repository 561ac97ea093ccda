import { test } from 'node:test';
import { expect } from 'earl';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { createJob } from './create-job.js';
import { findExcessStops } from './find-excess-stops.js';
import type { HistoryEvent } from './history-event.js';

const job = createJob(1, [{ count: 3, longRunning: true, maxUnavailable: 1 }]);

function createEvent(atMs: number, index: number, how?: HistoryEvent['how']): HistoryEvent {
  const kind = how === undefined ? 'started' : 'ended';
  const task = `${job.id}.0.0.${index}`;
  return { atMs, sentAtMs: atMs, kind, task, run: 1, worker: 'w0', how };
}

function check(events: readonly HistoryEvent[], cancelledAtMs?: number): number {
  const history = [createEvent(0, 0), createEvent(0, 1), createEvent(0, 2), ...events];
  return findExcessStops({
    history,
    jobs: new Map([[job.id, job]]),
    cancelRequestedAtMs: new Map(cancelledAtMs === undefined ? [] : [[job.id, cancelledAtMs]]),
  }).length;
}

// Guards against a check that reports nothing, or that reports stops which the limit allows.
test('the check of stops reports a long-running task that is stopped while too many others are away', () => {
  const stopped = createEvent(10_000, 0, RunEnd.stopped);
  expect(check([stopped])).toEqual(0);
  expect(check([stopped, createEvent(10_100, 1, RunEnd.stopped)])).toEqual(1);
  expect(check([stopped, createEvent(10_100, 0), createEvent(10_300, 1, RunEnd.stopped)])).toEqual(
    1,
  );
  expect(check([stopped, createEvent(10_100, 0), createEvent(10_500, 1, RunEnd.stopped)])).toEqual(
    0,
  );
  expect(check([createEvent(5_000, 1, RunEnd.lost), stopped])).toEqual(1);
  expect(check([createEvent(6_000, 1, RunEnd.lost), stopped])).toEqual(0);
  expect(check([stopped, createEvent(10_100, 1, RunEnd.stopped)], 10_050)).toEqual(0);
});
